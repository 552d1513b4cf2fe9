"""Weighted distribution of a route's requests among its services."""

from __future__ import annotations

from random import Random

from sycamorebay.state.routing import Route, WeightedService


class Splitter:
    """Smooth weighted round robin for each route.

    Each route starts at a random phase. Otherwise daemons with little traffic would all start with
    the same service.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._credits_by_weighted_services: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ] = {}

    def choose(self, route: Route) -> str:
        """Return the name of the service for the next request of a route."""
        weighted_services = route.weighted_services
        if len(weighted_services) == 1:
            return weighted_services[0].service
        total = sum(weighted_service.weight for weighted_service in weighted_services)
        credits = self._credits_by_weighted_services.get((route.name, weighted_services))
        if credits is None:
            credits = [
                self._rng.random() * weighted_service.weight
                for weighted_service in weighted_services
            ]
            self._credits_by_weighted_services[(route.name, weighted_services)] = credits
        for index, weighted_service in enumerate(weighted_services):
            credits[index] += weighted_service.weight
        best = max(range(len(weighted_services)), key=credits.__getitem__)
        credits[best] -= total
        return weighted_services[best].service

    def forget(self) -> None:
        """Reset all routes, for a new configuration."""
        self._credits_by_weighted_services.clear()
