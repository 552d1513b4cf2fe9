"""The gateway's control address: copies for peers, metrics and explanations for operators."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from sycamorebay.coordination.placing import Placer
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.protocol.store_items import encode_copy
from sycamorebay.state.routing import RoutingTable
from sycamorebay.state.store_versions import parse_version
from sycamorebay.transport.gateway.callers.caller_messages import CallerAnswer, CallerRequest
from sycamorebay.transport.gateway.explain import explain, read_question
from sycamorebay.transport.gateway.store.store_sync import COPY_PATH, StoreSync

EXPLAIN_PATH = "/explain"
METRICS_PATH = "/metrics"


@attrs.define
class ControlApi:
    """Handles the requests at the control address.

    Attributes
    ----------
    store_sync : StoreSync
        The copy of the store.
    placer : Placer
        Knows the servers.
    header_codec : HeaderCodec
        Decodes the headers that carry metadata of requests.
    routing : callable
        Returns the routing table in force, or None.
    is_current : callable
        Returns whether the routing table is known to be up to date.
    metrics : callable
        Returns all metrics in the Prometheus text format.
    clock : callable
        Returns seconds on the clock of the placer and of the confirmations of the store.
    """

    store_sync: StoreSync
    placer: Placer
    header_codec: HeaderCodec
    routing: Callable[[], RoutingTable | None]
    is_current: Callable[[], bool]
    metrics: Callable[[], bytes]
    clock: Callable[[], float] = time.monotonic

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request at the control address."""
        if request.path == COPY_PATH:
            return self._copy(request)
        if request.path == METRICS_PATH:
            headers = [(b"content-type", b"text/plain; version=0.0.4")]
            return CallerAnswer(200, headers, self.metrics())
        if request.path == EXPLAIN_PATH:
            return self._explain(request)
        return CallerAnswer(404, [])

    def _copy(self, request: CallerRequest) -> CallerAnswer:
        try:
            after = parse_version(request.target.rpartition("after=")[2])
        except ValueError:
            return CallerAnswer(400, [])
        return CallerAnswer(200, [], encode_copy(self.store_sync.copy_after(after)))

    def _explain(self, request: CallerRequest) -> CallerAnswer:
        question = read_question(request.target, request.headers, self.header_codec)
        if question is None:
            return CallerAnswer(400, [])
        now = self.clock()
        body = explain(
            now,
            question,
            self.routing(),
            self.placer,
            confirmed_age_s=now - self.store_sync.confirmed_at,
            is_current=self.is_current(),
        )
        return CallerAnswer(200, [(b"content-type", b"application/json")], body)
