"""Records what backend servers say of themselves in their answers.

That is their limits, that they leave, rests that they want, and for how long they are cold.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sycamorebay import log
from sycamorebay.coordination.cold_server import ColdSource
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.protocol.header_codec import AnswerMetadata
from sycamorebay.transport.gateway.counters import Counters

_log = log.get_logger("limits")


class AnnouncementRecorder:
    """Passes what answers say of their servers to the placer.

    Parameters
    ----------
    placer : Placer
        Keeps the limit and the announcements of each server.
    counters : Counters
        Metrics of this daemon.
    on_changed : callable
        Called with the id of a server whose limit has changed.
    on_cold_changed : callable
        Called with the id of a server with another cold time than was known.
    """

    def __init__(
        self,
        placer: Placer,
        counters: Counters,
        on_changed: Callable[[str], None],
        on_cold_changed: Callable[[str], None],
    ) -> None:
        self._placer = placer
        self._counters = counters
        self._on_changed = on_changed
        self._on_cold_changed = on_cold_changed

    def on_answer(self, server_id: str, metadata: AnswerMetadata) -> None:
        """Record the limit in a server's answer to a request, or that it has none."""
        load = self._placer.load(server_id)
        if load is None:
            return
        now = asyncio.get_running_loop().time()
        self._on_announced(now, load, metadata)
        if metadata.requests_per_s is not None:
            self._on_named(now, server_id, metadata.requests_per_s, "answer")
        elif metadata.signed and load.limit.on_absent(now):
            _log.info("server named no limit any more", server=server_id)
            self._on_changed(server_id)

    def on_probe_answer(self, server_id: str, metadata: AnswerMetadata) -> None:
        """Record the limit in a server's answer to a probe; one without a limit tells nothing."""
        now = asyncio.get_running_loop().time()
        load = self._placer.load(server_id)
        if load is not None:
            self._on_announced(now, load, metadata)
            if metadata.cold_s is None and load.cold.on_silent(now):
                self._on_cold_changed(server_id)
        if metadata.requests_per_s is not None:
            self._on_named(now, server_id, metadata.requests_per_s, "probe")

    def _on_announced(self, now: float, load: ServerLoad, metadata: AnswerMetadata) -> None:
        """Record that a server leaves, wants a rest or is cold."""
        server_id = load.entry.id
        if metadata.cold_s is not None and load.cold.on_stated(
            now, metadata.cold_s, ColdSource.ANSWER
        ):
            self._on_cold_changed(server_id)
        if metadata.leaving and load.announcements.on_leaving():
            self._counters.servers_leaving += 1
            _log.info("server leaves", server=server_id)
        if metadata.rest_is_unreadable:
            self._counters.rests_unreadable += 1
            _log.info("rest of a server cannot be read", server=server_id)
        if metadata.rest_s is not None and load.announcements.on_rest(now, metadata.rest_s):
            self._counters.server_rests += 1
            _log.info("server rests", server=server_id, for_s=metadata.rest_s)

    def _on_named(self, now: float, server_id: str, per_s: float, source: str) -> None:
        load = self._placer.load(server_id)
        if load is not None and load.limit.on_named(now, per_s):
            self._counters.limits_named += 1
            _log.info("server named a limit", server=server_id, per_s=per_s, source=source)
            self._on_changed(server_id)
