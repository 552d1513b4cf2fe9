"""Dispatches each message of a peer to the handler of its type."""

from __future__ import annotations

from sycamorebay.protocol.generated.peers.ttypes import Body
from sycamorebay.transport.peering.peers import Handler


class PeerMessages:
    """Handlers, keyed by the field of `Body` that is set in a message."""

    def __init__(self) -> None:
        self._handlers_by_kind: dict[str, Handler] = {}

    def on(self, kind: str, handler: Handler) -> None:
        """Register the handler of messages of one type, such as ``heartbeat``."""
        self._handlers_by_kind[kind] = handler

    async def __call__(self, body: Body) -> Body | None:
        """Return the handler's answer to a message, or None if there is no answer or handler."""
        for kind, handler in self._handlers_by_kind.items():
            if getattr(body, kind) is not None:
                return await handler(body)
        return None
