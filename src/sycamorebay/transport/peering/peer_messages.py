"""Hands each message of a peer to the part that answers its kind."""

from __future__ import annotations

from sycamorebay.protocol.generated.peers.ttypes import Body
from sycamorebay.transport.peering.peers import Handler


class PeerMessages:
    """Handlers by the name of the field that a message fills."""

    def __init__(self) -> None:
        self._handlers_by_kind: dict[str, Handler] = {}

    def on(self, kind: str, handler: Handler) -> None:
        """Let a handler answer messages of one kind, such as ``heartbeat``."""
        self._handlers_by_kind[kind] = handler

    async def __call__(self, body: Body) -> Body | None:
        """Return the answer to a message, or None."""
        for kind, handler in self._handlers_by_kind.items():
            if getattr(body, kind) is not None:
                return await handler(body)
        return None
