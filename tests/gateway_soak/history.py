"""What callers and servers saw in one play."""

from __future__ import annotations

from collections import defaultdict

import attrs

# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


@attrs.define
class Call:
    """One request of a caller; `status` is 0 where its connection ended without an answer.

    Attributes
    ----------
    start : int
        Which start of its gateway took it.
    """

    id: str
    safe: bool
    gateway: int
    start: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""


@attrs.frozen
class Run:
    """One run of a request at a server."""

    request_id: str
    service: str
    at: float


@attrs.frozen
class Version:
    """A configuration, from the store's acknowledgement on."""

    number: int
    service: str
    at: float


@attrs.frozen
class Disturbance:
    """A time in which a gateway, or all of them (-1), can't be expected to keep bounds of time."""

    gateway: int
    kind: str
    since: float
    until: float


@attrs.define
class History:
    """All of it."""

    calls: list[Call] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    versions: list[Version] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    faults_ended_at: float = float("inf")

    def runs_by_request(self) -> dict[str, list[Run]]:
        """Return the runs of each request."""
        found: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found

    def is_calm(self, gateway: int, since: float, until: float) -> bool:
        """Whether nothing disturbed a gateway in a span."""
        return not any(
            one.gateway in (-1, gateway) and one.since <= until and one.until >= since
            for one in self.disturbances
        )
