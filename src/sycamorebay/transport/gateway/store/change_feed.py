"""Interface of the store that a reader uses."""

from __future__ import annotations

from typing import Protocol

from sycamorebay.errors import PlatformError
from sycamorebay.state.store_versions import StoreVersion, VersionedItem, VersionedListing


class ChangesLostError(PlatformError):
    """The store no longer holds the changes after the requested version, or was restored."""


class ChangeFeed(Protocol):
    """The interface of the store that a reader uses."""

    async def list_all(self) -> VersionedListing:
        """Return all items and the version of the listing.

        Raises
        ------
        PlatformError
            If the call fails.
        """
        ...

    async def changes(
        self, after: StoreVersion, wait_s: float
    ) -> tuple[list[VersionedItem], StoreVersion]:
        """Wait for changes after a version.

        Parameters
        ----------
        after : StoreVersion
            Version that the caller has.
        wait_s : float
            Longest time to wait, in seconds.

        Returns
        -------
        tuple of (list of VersionedItem, StoreVersion)
            The changed items, none if the time is over, and the version that they lead to.

        Raises
        ------
        ChangesLostError
            If the store no longer holds the changes after this version, or is in a later era.
        PlatformError
            If the call fails.
        """
        ...
