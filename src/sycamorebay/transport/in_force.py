"""Puts accepted revisions in force at this entry."""

from __future__ import annotations

import time

from sycamorebay import log
from sycamorebay.coordination.configuration import Configuration, Revision
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.errors import DocumentError, PlatformError
from sycamorebay.metrics import Metrics
from sycamorebay.protocol.revisions import decode_record

_log = log.part("configuration")


class RevisionInForce:
    """Takes revisions from the store and from peers.

    Parameters
    ----------
    configuration : Configuration
        Decides whether a revision is newer.
    dispatcher : Dispatcher
        Gets the document.
    metrics : Metrics
        Shows the revision's number.
    """

    def __init__(
        self, configuration: Configuration, dispatcher: Dispatcher, metrics: Metrics
    ) -> None:
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._metrics = metrics

    @property
    def revision(self) -> Revision | None:
        """The revision in force, or None."""
        return self._configuration.revision

    def on_value(self, value: bytes) -> None:
        """Take the value that the store holds."""
        try:
            revision = decode_record(value).revision
        except PlatformError as error:
            _log.error("revision rejected", step=error.step, reason=str(error))
            return
        self.on_revision(revision)

    def on_revision(self, revision: Revision) -> None:
        """Take a revision; put it in force where it is newer."""
        now = time.monotonic()
        try:
            document = self._configuration.on_revision(now, revision)
        except DocumentError as error:
            _log.error("revision rejected", step=error.step, reason=str(error))
            return
        if document is not None:
            self._dispatcher.on_document(now, document)
            self._metrics.revision.set(revision.number)
            _log.info("revision in force", revision=revision.number, digest=revision.digest)
