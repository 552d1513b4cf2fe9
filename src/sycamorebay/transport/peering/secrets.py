"""Reads the shared secrets, and reads their file again at intervals to allow a rotation."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import overload

from sycamorebay import log
from sycamorebay.settings import MIN_SECRET_BYTES, Settings

REFRESH_INTERVAL_S = 5.0

_log = log.get_logger("secrets")


class SecretFile(Sequence[bytes]):
    """The shared secrets of a file, newest first.

    The last valid secrets stay in use if the file cannot be read, is empty, or has a secret that
    is too short.

    Parameters
    ----------
    settings : Settings
        Names the file.

    Raises
    ------
    OSError
        If the file cannot be read when the object is created.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._secrets = settings.secrets()

    def refresh(self) -> None:
        """Read the file again, and use its secrets if they are valid; failures are logged."""
        try:
            secrets = self._settings.secrets()
        except OSError as error:
            _log.warning("secrets could not be read", reason=str(error))
            return
        if secrets == self._secrets:
            return
        if not secrets or any(len(secret) < MIN_SECRET_BYTES for secret in secrets):
            _log.error(
                "secrets rejected",
                reason=f"expected at least one secret, each of at least {MIN_SECRET_BYTES} bytes",
            )
            return
        self._secrets = secrets
        _log.info("secrets changed", number=len(secrets))

    @overload
    def __getitem__(self, index: int) -> bytes: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[bytes]: ...

    def __getitem__(self, index: int | slice) -> bytes | Sequence[bytes]:
        """Return one secret, or a slice of them; index 0 is the newest."""
        return self._secrets[index]

    def __len__(self) -> int:
        """Return the number of secrets."""
        return len(self._secrets)


class SecretRefresh:
    """Reads the file of secrets again every `REFRESH_INTERVAL_S` seconds.

    Parameters
    ----------
    secrets : SecretFile
        The secrets to refresh.
    """

    def __init__(self, secrets: SecretFile) -> None:
        self._secrets = secrets

    async def run(self) -> None:
        """Refresh the secrets until cancelled."""
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            await asyncio.to_thread(self._secrets.refresh)
