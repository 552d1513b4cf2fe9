"""Operators' listener: liveness, readiness, metrics and state."""

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
    """What an entry tells its operators.

    Attributes
    ----------
    id : str
        This entry.
    ready : bool
        Whether the platform's balancer should send callers here.
    objection : str
        Why nothing is served; empty where requests are served.
    revision : int
        Revision in force; 0 for none.
    digest : str
        Its document's digest.
    peers : tuple of str
        Peers heard lately.
    """

    id: str
    ready: bool
    objection: str
    revision: int
    digest: str
    peers: tuple[str, ...]


class _SecretCheck:
    """Middleware that asks for a shared secret on all but liveness."""

    def __init__(self, secrets: Sequence[bytes]) -> None:
        self._secrets = secrets

    async def process_request(self, request: falcon.asgi.Request, _response: Any) -> None:
        """Refuse a request without a shared secret."""
        if request.path == "/live":
            return
        given = request.get_header(SECRET_HEADER, default="").encode()
        matches = [hmac.compare_digest(given, secret) for secret in self._secrets]
        if not any(matches):
            raise falcon.HTTPUnauthorized()


class _Live:
    async def on_get(self, _request: Any, response: falcon.asgi.Response) -> None:
        response.text = "live"


class _Ready:
    def __init__(self, status: Callable[[], Status]) -> None:
        self._status = status

    async def on_get(self, _request: Any, response: falcon.asgi.Response) -> None:
        ready = self._status().ready
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.text = "ready" if ready else "not ready"


class _StatusPage:
    def __init__(self, status: Callable[[], Status]) -> None:
        self._status = status

    async def on_get(self, _request: Any, response: falcon.asgi.Response) -> None:
        response.media = attrs.asdict(self._status())


class _MetricsPage:
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def on_get(self, _request: Any, response: falcon.asgi.Response) -> None:
        response.content_type = "text/plain; version=0.0.4"
        response.data = self._metrics.text()


def operator_app(
    secrets: Sequence[bytes], metrics: Metrics, status: Callable[[], Status]
) -> falcon.asgi.App:
    """Return the falcon application that operators talk to."""
    app = falcon.asgi.App(middleware=[_SecretCheck(secrets)])
    app.add_route("/live", _Live())
    app.add_route("/ready", _Ready(status))
    app.add_route("/status", _StatusPage(status))
    app.add_route("/metrics", _MetricsPage(metrics))
    return app
