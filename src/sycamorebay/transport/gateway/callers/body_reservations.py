"""Limit on the bytes of request bodies that a gateway holds at the same time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sycamorebay.coordination.memory_budget import BODY_BYTES
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.protocol.header_names import RawHeaders

MAX_BODY_BYTES = BODY_BYTES
# Smaller bodies need no room of their own.
SMALL_BODY_BYTES = 16 * 1024
# Share of a caller's time after which its body no longer waits for room.
_WAIT_SHARE = 0.5
DEFAULT_WAIT_S = 1.0


def body_wait_s(header_codec: HeaderCodec, headers: RawHeaders) -> float:
    """Return how long the body of a request may wait for room, in seconds."""
    deadline_s = header_codec.read_request(headers).deadline_s
    return DEFAULT_WAIT_S if deadline_s is None else _WAIT_SHARE * deadline_s


class Reservation:
    """Room for one body; release it once the body is no longer held.

    Parameters
    ----------
    owner : BodyReservations
        What it is taken from.
    size : int
        Bytes of room.
    on_granted : callable
        Called when there is room, if there is none at first.
    free_bytes : int
        Bytes of a body of unknown length that need no room.

    Attributes
    ----------
    granted : bool
        Whether there is room.
    """

    def __init__(
        self,
        owner: BodyReservations,
        size: int,
        on_granted: Callable[[], None] = lambda: None,
        free_bytes: int = 0,
    ) -> None:
        self._owner = owner
        self._on_granted = on_granted
        self._free_bytes = free_bytes
        self.size = size
        self.granted = False

    def grant(self) -> None:
        """Let the body be received."""
        self.granted = True
        self._on_granted()

    def force(self) -> None:
        """Take the room for a body that has arrived already."""
        if not self.granted:
            self._owner.force(self)

    def grow(self, size: int) -> bool:
        """Add bytes of a body whose length is not known; return False if there is no room."""
        free = min(size, self._free_bytes)
        self._free_bytes -= free
        return self._owner.grow(self, size - free)

    def release(self) -> None:
        """Give the room back, or stop waiting for it; may be called again."""
        self._owner.release(self)
        self.size = 0


class BodyReservations:
    """Room for the bodies of requests; those that find none wait in order.

    Room is reserved for whole bodies before they are received. Bodies that had room for a part
    each would all wait for the rest.

    Parameters
    ----------
    max_bytes : int
        Most bytes of all bodies together. A single larger body is let in alone.

    Attributes
    ----------
    used : int
        Bytes reserved.
    """

    def __init__(self, max_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_bytes = max_bytes
        self._waiting: deque[Reservation] = deque()
        self.used = 0

    def reserve(self, size: int, on_granted: Callable[[], None]) -> Reservation:
        """Return a reservation of some bytes, which may have to wait for room."""
        reservation = Reservation(self, size, on_granted)
        if not self._waiting and self._has_room(size):
            self.used += size
            reservation.granted = True
        else:
            self._waiting.append(reservation)
        return reservation

    def open(self) -> Reservation:
        """Return the reservation of a body of unknown length, which takes room as it arrives.

        It never waits: what there is no room for is refused, as the parts of bodies that wait for
        each other would hold the room for good.
        """
        reservation = Reservation(self, 0, free_bytes=SMALL_BODY_BYTES)
        reservation.granted = True
        return reservation

    def force(self, reservation: Reservation) -> None:
        """Take the room of a waiting reservation, whether there is room or not."""
        self._waiting.remove(reservation)
        self.used += reservation.size
        reservation.granted = True

    def grow(self, reservation: Reservation, size: int) -> bool:
        """Add to a reservation, and return False if there is no room for that."""
        if size and self.used + size > self._max_bytes:
            return False
        self.used += size
        reservation.size += size
        return True

    def release(self, reservation: Reservation) -> None:
        """Give the room of a reservation back, or stop its waiting."""
        if reservation.granted:
            self.used -= reservation.size
        elif reservation in self._waiting:
            self._waiting.remove(reservation)
        while self._waiting and self._has_room(self._waiting[0].size):
            first = self._waiting.popleft()
            self.used += first.size
            first.grant()

    def _has_room(self, size: int) -> bool:
        return not self.used or self.used + size <= self._max_bytes
