"""State of servers that were removed from the list, in case the same start of one returns."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

State = TypeVar("State")

MAX_REMOVED = 256


class RemovedStarts(Generic[State]):
    """State by start of a server, the latest `MAX_REMOVED`."""

    def __init__(self) -> None:
        self._by_start: OrderedDict[Hashable, State] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of starts whose state is kept."""
        return len(self._by_start)

    def put(self, start: Hashable, state: State) -> None:
        """Keep the state of a removed start of a server."""
        self._by_start[start] = state
        if len(self._by_start) > MAX_REMOVED:
            self._by_start.popitem(last=False)

    def pop(self, start: Hashable) -> State | None:
        """Return the state of a start of a server that is back, or None if none was kept."""
        return self._by_start.pop(start, None)
