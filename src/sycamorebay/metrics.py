"""Prometheus metrics of one entry daemon, in a registry of its own."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from sycamorebay.outcomes import Refusal
from sycamorebay.unlocked import UnlockedCounter, UnlockedHistogram

_ADDED_BUCKETS_S = (
    0.0001,
    0.0002,
    0.0003,
    0.0004,
    0.0005,
    0.00062,
    0.0008,
    0.001,
    0.002,
    0.005,
    0.01,
    0.1,
    1.0,
)
_BACKEND_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Metrics:
    """Metrics of one entry daemon.

    Attributes
    ----------
    registry : CollectorRegistry
        Registry that holds all metrics below.
    requests, refusals, attempts, hedges, probes : counter
        Requests accepted from callers, refusals, attempts, hedges, and probes.
    added, backend : UnlockedHistogram
        Time until an answer's head, in seconds: the part that this entry added, and the part
        that the backend server took.
    revision, peers_alive, probe_budget : Gauge
        Revision in force, peers that answered recently, and allowed probes per second.
    violations : Gauge
        Violations of each invariant.
    peer_bytes, peer_frames, peers_dropped : Counter
        Traffic with peers by direction, and dropped peer connections by reason.
    platform_calls : Counter
        Calls to the platform's service by kind.
    connections_closed : Counter
        Connections of callers and operators that were closed for a limit, by reason.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = UnlockedCounter("sycamorebay_requests", "Requests taken.", self.registry)
        self.refusals = Counter(
            "sycamorebay_refusals",
            "Requests refused, by outcome and step.",
            ["outcome", "step"],
            registry=self.registry,
        )
        self.attempts = UnlockedCounter(
            "sycamorebay_attempts", "Attempts sent to backend servers.", self.registry
        )
        self.hedges = Counter(
            "sycamorebay_hedges", "Hedges sent to backend servers.", registry=self.registry
        )
        self.added = UnlockedHistogram(
            "sycamorebay_added_seconds",
            "Time that this entry added before the answer's head.",
            _ADDED_BUCKETS_S,
            self.registry,
        )
        self.backend = UnlockedHistogram(
            "sycamorebay_backend_seconds",
            "Time that backend servers took until the answer's head.",
            _BACKEND_BUCKETS_S,
            self.registry,
        )
        self.revision = Gauge("sycamorebay_revision", "Revision in force.", registry=self.registry)
        self.peers_alive = Gauge(
            "sycamorebay_peers_alive", "Peers heard lately.", registry=self.registry
        )
        self.probes = Counter(
            "sycamorebay_probes", "Probes sent to backend servers.", registry=self.registry
        )
        self.probe_budget = Gauge(
            "sycamorebay_probe_budget", "Probes a second allowed.", registry=self.registry
        )
        self.violations = Gauge(
            "sycamorebay_invariant_violations",
            "Invariants that did not hold, by name.",
            ["name"],
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            "sycamorebay_peer_bytes",
            "Bytes between peers, by direction.",
            ["direction"],
            registry=self.registry,
        )
        self.peer_frames = Counter(
            "sycamorebay_peer_frames",
            "Messages between peers, by direction.",
            ["direction"],
            registry=self.registry,
        )
        self.peers_dropped = Counter(
            "sycamorebay_peers_dropped",
            "Dialers and links dropped, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.platform_calls = Counter(
            "sycamorebay_platform_calls",
            "Calls to the platform's service, by kind.",
            ["kind"],
            registry=self.registry,
        )

        self.connections_closed = Counter(
            "sycamorebay_connections_closed",
            "Connections of callers and operators closed for a limit, by reason.",
            ["reason"],
            registry=self.registry,
        )

    def on_memory_refused(self) -> None:
        """Count a connection that was refused or closed as all together held too much memory."""
        self.connections_closed.labels("memory").inc()

    def on_connection_evicted(self) -> None:
        """Count a connection that was closed as there were too many."""
        self.connections_closed.labels("number").inc()

    def on_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its outcome and step."""
        self.refusals.labels(refusal.tag, refusal.step).inc()

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
