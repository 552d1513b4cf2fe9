"""What callers ask for: kinds of request, arrivals that swell and burst, and their patience."""

from __future__ import annotations

import math
from random import Random

import attrs


@attrs.frozen
class Kind:
    """One kind of request.

    Attributes
    ----------
    name, service : str
        What it is and where it goes.
    share : float
        Part of all requests.
    work_s, goal_s, deadline_s : float
        Mean work, and when its answer stops being worth most and anything, in seconds.
    worth, late_worth : float
        Of an answer within the goal, and after it.
    priority : int
        0 is the most urgent.
    retries : int
        Times that its caller comes back.
    safe : bool
        Whether it may be repeated.
    """

    name: str
    service: str
    share: float
    work_s: float
    goal_s: float
    deadline_s: float
    worth: float
    late_worth: float
    priority: int
    retries: int
    safe: bool


@attrs.frozen
class Burst:
    """Traffic times `factor` from a time on, in seconds."""

    at: float
    for_s: float
    factor: float


@attrs.frozen
class Service:
    """Servers of one service; see `bench.emulator.servers`."""

    name: str
    servers: int
    slots: int
    queue: int
    noise_share: float
    noise_factor: float


@attrs.frozen
class Losses:
    """Servers that lose answers by a reset for a while.

    Attributes
    ----------
    at, for_s : float
        When, in seconds.
    servers : float
        Share of each service's servers.
    answers : float
        Share of their answers.
    """

    at: float
    for_s: float
    servers: float
    answers: float


@attrs.frozen
class Scenario:
    """One deployment under one load."""

    name: str
    daemons: int
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    per_s: float
    swing: float
    period_s: float
    bursts: tuple[Burst, ...]
    length_s: float
    losses: tuple[Losses, ...] = ()

    def rate(self, now: float) -> float:
        """Return requests a second at a time."""
        rate = self.per_s * (1.0 + self.swing * math.sin(2 * math.pi * now / self.period_s))
        for burst in self.bursts:
            if burst.at <= now < burst.at + burst.for_s:
                rate *= burst.factor
        return rate

    def pick(self, rng: Random) -> Kind:
        """Return a kind by its share."""
        return rng.choices(self.kinds, [kind.share for kind in self.kinds])[0]


def draw_work(kind: Kind, rng: Random) -> float:
    """Return the work of one request at the usual pace, in seconds; few are far longer."""
    work = kind.work_s * max(0.2, rng.gauss(1.0, 0.3))
    return work * 7.0 if rng.random() < 0.03 else work


def _kind(name: str, service: str, share: float, ms: tuple[float, ...], **rest: object) -> Kind:
    work, goal, deadline = (value / 1000 for value in ms)
    found: dict[str, object] = {"worth": 1.0, "late_worth": 0.1, "priority": 2, "retries": 1}
    found.update(rest)
    return Kind(name, service, share, work, goal, deadline, **found)  # type: ignore[arg-type]


HUSK = Scenario(
    name="husk",
    daemons=13,
    services=(
        Service("lot-desk", 21, 3, 6, 0.25, 4.0),
        Service("dock-ledger", 6, 3, 6, 0.25, 4.0),
    ),
    kinds=(
        _kind("quote", "lot-desk", 4.4, (100, 300, 1000), safe=True),
        _kind(
            "bid",
            "lot-desk",
            1.8,
            (140, 400, 1200),
            safe=False,
            worth=2.0,
            late_worth=0.2,
            priority=1,
        ),
        _kind("manifest", "dock-ledger", 0.73, (82, 400, 1000), safe=True),
        _kind("haul", "dock-ledger", 0.69, (82, 250, 800), safe=False),
    ),
    per_s=155.0,
    swing=0.55,
    period_s=15.0,
    bursts=(Burst(8.5, 5.0, 1.5), Burst(15.5, 3.5, 1.7)),
    length_s=45.0,
)

SWAN = Scenario(
    name="swan",
    daemons=16,
    services=(
        Service("orders", 27, 4, 8, 0.35, 4.0),
        Service("catalogue", 8, 4, 8, 0.35, 4.0),
    ),
    kinds=(
        _kind("stock", "orders", 5.9, (57, 200, 1200), safe=True, retries=2),
        _kind(
            "charge",
            "orders",
            2.4,
            (74, 250, 1500),
            safe=False,
            worth=2.0,
            late_worth=0.2,
            priority=1,
            retries=2,
        ),
        _kind("swatch", "catalogue", 0.6, (45, 250, 1500), safe=True, retries=2),
        _kind("courier", "catalogue", 0.5, (45, 150, 1200), safe=False, retries=2),
    ),
    per_s=430.0,
    swing=0.55,
    period_s=13.0,
    bursts=(Burst(8.5, 5.0, 1.4), Burst(15.5, 3.5, 1.7)),
    length_s=45.0,
)

LOSING = attrs.evolve(
    HUSK,
    name="losing",
    bursts=(),
    losses=(Losses(8.0, 4.0, 0.35, 0.4), Losses(22.0, 4.0, 0.35, 0.4)),
)

# Some servers answer nothing at all for a while.
DEAD = attrs.evolve(
    LOSING, name="dead", losses=(Losses(8.0, 4.0, 0.2, 1.0), Losses(22.0, 4.0, 0.2, 1.0))
)

SCENARIOS_BY_NAME = {one.name: one for one in (HUSK, SWAN, LOSING, DEAD)}
