"""The HTTP application for operators: liveness, readiness, status and metrics."""

from __future__ import annotations

import hmac
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import falcon
import falcon.asgi

from sycamorebay.metrics import Metrics

SECRET_HEADER = "sycamorebay-secret"


@attrs.frozen
class Status:
    """An entry's state, as ``/status`` returns it in JSON.

    Attributes
    ----------
    id : str
        This entry's id.
    ready : bool
        Whether the platform's load balancer should send callers to this entry.
    objection : str
        Why all requests are refused; empty if requests are served.
    revision : int
        Number of the revision in force; 0 if there is none.
    digest : str
        Digest of its document.
    peers : tuple of str
        Ids of the peers that are alive, sorted.
    """

    id: str
    ready: bool
    objection: str
    revision: int
    digest: str
    peers: tuple[str, ...]


class _SecretMiddleware:
    """Middleware that requires a shared secret for every path but ``/live``."""

    def __init__(self, secrets: Sequence[bytes]) -> None:
        self._secrets = secrets

    async def process_request(self, request: falcon.asgi.Request, _response: Any) -> None:
        """Raise `falcon.HTTPUnauthorized` for a request without a valid shared secret."""
        if request.path == "/live":
            return
        given_secret = request.get_header(SECRET_HEADER, default="").encode()
        matches = [hmac.compare_digest(given_secret, secret) for secret in self._secrets]
        if not any(matches):
            raise falcon.HTTPUnauthorized()


class _LivenessResource:
    """Answers ``GET /live`` while the event loop runs; the only path without a secret."""

    async def on_get(self, _request: Any, response: falcon.asgi.Response) -> None:
        response.text = "live"


class _ReadinessResource:
    """Answers ``GET /ready`` with 200 if callers may be sent here, else with 503."""

    def __init__(self, status: Callable[[], Status]) -> None:
        self._status = status

    async def on_get(self, _request: Any, response: falcon.asgi.Response) -> None:
        ready = self._status().ready
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.text = "ready" if ready else "not ready"


class _StatusResource:
    """Answers ``GET /status`` with the entry's `Status` as JSON."""

    def __init__(self, status: Callable[[], Status]) -> None:
        self._status = status

    async def on_get(self, _request: Any, response: falcon.asgi.Response) -> None:
        response.media = attrs.asdict(self._status())


class _MetricsResource:
    """Answers ``GET /metrics`` in the text format of Prometheus."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def on_get(self, _request: Any, response: falcon.asgi.Response) -> None:
        response.content_type = "text/plain; version=0.0.4"
        response.data = self._metrics.text()


def operator_app(
    secrets: Sequence[bytes], metrics: Metrics, status: Callable[[], Status]
) -> falcon.asgi.App:
    """Return the falcon application for operators.

    Parameters
    ----------
    secrets : sequence of bytes
        The accepted secrets. It is read at each request, so it may change.
    metrics : Metrics
        The metrics that ``/metrics`` returns.
    status : callable
        Returns the current status.
    """
    app = falcon.asgi.App(middleware=[_SecretMiddleware(secrets)])
    app.add_route("/live", _LivenessResource())
    app.add_route("/ready", _ReadinessResource(status))
    app.add_route("/status", _StatusResource(status))
    app.add_route("/metrics", _MetricsResource(metrics))
    return app
