"""What `bench.policy` measures."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from sycamorebay.coordination.choose import CHOOSERS_BY_NAME

SWING_PERIOD_S = 4.0


@attrs.frozen
class Variant:
    """One way to decide.

    Attributes
    ----------
    name : str
        For the table.
    settings, limits, measuring, routes : dict
        Merged into the entries' settings, and into the document's limits, measuring and routes.
    extra_kinds : list of dict
        Load beside the workload's.
    """

    name: str
    settings: dict[str, Any] = attrs.field(factory=dict)
    limits: dict[str, Any] = attrs.field(factory=dict)
    measuring: dict[str, Any] = attrs.field(factory=dict)
    routes: dict[str, Any] = attrs.field(factory=dict)
    extra_kinds: list[dict[str, Any]] = attrs.field(factory=list)


@attrs.frozen
class Scenario:
    """A workload, what is done to it, and the variants that are compared."""

    workload: str
    variants: tuple[Variant, ...]
    load_factor: float = 1.0
    rate_factor: Callable[[float], float] | None = None
    extra_kinds: list[dict[str, Any]] = attrs.field(factory=list)
    limits: dict[str, Any] = attrs.field(factory=dict)
    behaviour: dict[str, Any] = attrs.field(factory=dict)
    fault: dict[str, Any] = attrs.field(factory=dict)
    fault_at_s: float = 2.0

    def variant(self, name: str) -> Variant:
        """Return a variant by its name."""
        return next(variant for variant in self.variants if variant.name == name)


def swing(at: float) -> float:
    """Return the demand at a time: one part, then four within two seconds, and back."""
    phase = at % SWING_PERIOD_S / SWING_PERIOD_S
    return 0.5 + 1.5 * (2 * phase if phase < 0.5 else 2 - 2 * phase)


CHOICES = tuple(Variant(name, settings={"chooser": name}) for name in CHOOSERS_BY_NAME)
QUEUES = tuple(Variant(f"queue {n}", limits={"queue_length": n}) for n in (4, 16, 64))
DOWNLOADS = [
    {"service": "catalogue", "path": "/swatch-books/1", "work_ms": 2000, "rate": 4.0},
]
LONG_WORK = (
    Variant("no downloads"),
    Variant("downloads, no classes", routes={"work": "short"}, extra_kinds=DOWNLOADS),
    Variant("downloads, long share 0.25", limits={"long_share": 0.25}, extra_kinds=DOWNLOADS),
    Variant("downloads, long share 0.5", limits={"long_share": 0.5}, extra_kinds=DOWNLOADS),
)

SCENARIOS_BY_NAME = {
    "choice": Scenario("consortium", CHOICES),
    "overload": Scenario("consortium", QUEUES, load_factor=1.5 / 0.7),
    "crest": Scenario("consortium", (*QUEUES, *CHOICES[:1]), rate_factor=swing),
    "long-work": Scenario("shop", LONG_WORK),
    "slow-server": Scenario("consortium", (CHOICES[0], CHOICES[-1]), fault={"slow": 10.0}),
    "failing-server": Scenario("consortium", (CHOICES[0], CHOICES[-1]), fault={"fail": True}),
}
