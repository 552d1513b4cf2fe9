"""Puts accepted revisions in force at this entry."""

from __future__ import annotations

import asyncio
import time

from sycamorebay import log
from sycamorebay.coordination.configuration import Configuration, Revision
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.freshness import Freshness
from sycamorebay.errors import DocumentError, PlatformError
from sycamorebay.metrics import Metrics
from sycamorebay.protocol.revisions import decode_record
from sycamorebay.transport.clock import boottime

_log = log.get_logger("configuration")


class RevisionInForce:
    """Applies revisions that arrive from the store or from peers.

    Parameters
    ----------
    configuration : Configuration
        Decides whether a revision is newer than the one in force.
    freshness : Freshness
        Records which revisions exist and which one is in force.
    dispatcher : Dispatcher
        Routes requests by the document of the revision in force.
    metrics : Metrics
        Exposes the number of the revision in force.

    Attributes
    ----------
    changed : asyncio.Event
        Set each time a revision comes into force.
    """

    def __init__(
        self,
        configuration: Configuration,
        freshness: Freshness,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        self.configuration = configuration
        self.freshness = freshness
        self.changed = asyncio.Event()
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._rejected: set[int] = set()

    def on_value(self, value: bytes) -> None:
        """Decode a value of the document's key, and apply its revision if it is newer.

        A value that cannot be decoded is logged and ignored.
        """
        try:
            revision = decode_record(value).revision
        except PlatformError as error:
            _log.error("stored value rejected", step=error.step, reason=str(error))
            return
        self.on_revision(revision)

    def on_revision(self, revision: Revision) -> None:
        """Put a revision in force if it is newer.

        A revision whose document has faults is logged once and ignored from then on; the revision
        in force stays.
        """
        now = boottime()
        self.freshness.on_known_revision(now, revision.number)
        if revision.number in self._rejected:
            return
        try:
            document = self.configuration.on_revision(now, revision)
        except DocumentError as error:
            self._rejected.add(revision.number)
            _log.error("revision rejected", revision=revision.number, reason=str(error))
            return
        if document is None:
            return
        self._dispatcher.on_document(time.monotonic(), document)
        self.freshness.on_in_force(now, revision.number)
        self._metrics.revision.set(revision.number)
        self.changed.set()
        digest = self.configuration.digest
        _log.info("revision in force", revision=revision.number, digest=digest)
