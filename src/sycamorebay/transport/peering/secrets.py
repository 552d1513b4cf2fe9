"""The shared secrets, read again when their file changes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import overload

from sycamorebay import log
from sycamorebay.settings import MIN_SECRET_BYTES, Settings

REFRESH_S = 5.0

_log = log.get_logger("secrets")


class SecretFile(Sequence[bytes]):
    """Secrets of a file, newest first; a file that can't be read leaves the last ones in use.

    Parameters
    ----------
    settings : Settings
        Names the file.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._secrets = settings.secrets()

    def refresh(self) -> None:
        """Read the file again."""
        try:
            secrets = self._settings.secrets()
        except OSError as error:
            _log.warning("secrets could not be read", reason=str(error))
            return
        if secrets == self._secrets:
            return
        if not secrets or any(len(secret) < MIN_SECRET_BYTES for secret in secrets):
            _log.error("secrets rejected", reason="a secret is missing or too short")
            return
        self._secrets = secrets
        _log.info("secrets changed", number=len(secrets))

    @overload
    def __getitem__(self, index: int) -> bytes: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[bytes]: ...

    def __getitem__(self, index: int | slice) -> bytes | Sequence[bytes]:
        """Return one secret."""
        return self._secrets[index]

    def __len__(self) -> int:
        """Return how many secrets are accepted."""
        return len(self._secrets)


class SecretRefresh:
    """Reads the secrets' file again now and then.

    Parameters
    ----------
    secrets : SecretFile
        What to read again.
    """

    def __init__(self, secrets: SecretFile) -> None:
        self._secrets = secrets

    async def run(self) -> None:
        """Refresh until cancelled."""
        while True:
            await asyncio.sleep(REFRESH_S)
            await asyncio.to_thread(self._secrets.refresh)
