"""Shares a route's requests among its services by weight."""

from __future__ import annotations

from random import Random

from sycamorebay.state.routing import Part, Route


class Splitter:
    """Smooth weighted round robin for each route.

    Each route starts at a random phase, so that daemons with little traffic don't all begin at the
    same service.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._credits_by_parts: dict[tuple[str, tuple[Part, ...]], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credits = self._credits_by_parts.get((route.name, parts))
        if credits is None:
            credits = [self._rng.random() * part.weight for part in parts]
            self._credits_by_parts[(route.name, parts)] = credits
        for index, part in enumerate(parts):
            credits[index] += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= total
        return parts[best].service

    def forget(self) -> None:
        """Start anew, as for a new configuration."""
        self._credits_by_parts.clear()
