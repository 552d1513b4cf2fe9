"""Scenarios and variants that `bench.policy` measures."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from sycamorebay.coordination.choose import CHOOSERS_BY_NAME

RATE_PERIOD_S = 4.0


@attrs.frozen
class Variant:
    """One configuration under comparison.

    Attributes
    ----------
    name : str
        Name of the variant in tables and results.
    settings : dict
        Values merged into the settings of each entry.
    limits : dict
        Values merged into the limits of each service of the document.
    measuring : dict
        The document's ``measuring`` section; empty to leave it out.
    routes : dict
        Values merged into each route of the document.
    extra_kinds : list of dict
        Kinds of request sent in addition to those of the workload.
    """

    name: str
    settings: dict[str, Any] = attrs.field(factory=dict)
    limits: dict[str, Any] = attrs.field(factory=dict)
    measuring: dict[str, Any] = attrs.field(factory=dict)
    routes: dict[str, Any] = attrs.field(factory=dict)
    extra_kinds: list[dict[str, Any]] = attrs.field(factory=list)


@attrs.frozen
class Scenario:
    """A workload, its changes and faults, and the variants that are compared.

    Attributes
    ----------
    workload : str
        Name of the file under ``bench/workloads``, without its suffix.
    variants : tuple of Variant
        Variants under comparison.
    load_factor : float
        Factor of the load of each kind of request that states one.
    rate_factor : callable or None
        Returns the factor of the arrival rate for a time in seconds from the start; None for 1.
    extra_kinds : list of dict
        Kinds of request sent in addition to those of the workload.
    limits : dict
        Values merged into the limits of each service of the document.
    behaviour : dict
        Values merged into the behaviour of every backend server.
    fault : dict
        Behaviour of one backend server while it is faulty; empty for no fault.
    fault_at_s : float
        Time from the start of the load until the fault, in seconds.
    """

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
        """Return a variant by its name.

        Raises
        ------
        StopIteration
            If the scenario has no variant of this name.
        """
        return next(variant for variant in self.variants if variant.name == name)


def triangle_wave(at: float) -> float:
    """Return the factor of the arrival rate at a time in seconds.

    A triangle wave between 0.5 and 2, so that the rate grows fourfold within two seconds and falls
    back within the next two.
    """
    phase = at % RATE_PERIOD_S / RATE_PERIOD_S
    return 0.5 + 1.5 * (2 * phase if phase < 0.5 else 2 - 2 * phase)


CHOOSER_VARIANTS = tuple(Variant(name, settings={"chooser": name}) for name in CHOOSERS_BY_NAME)
QUEUE_VARIANTS = tuple(Variant(f"queue {n}", limits={"queue_length": n}) for n in (4, 16, 64))
DOWNLOADS = [
    {"service": "catalogue", "path": "/swatch-books/1", "work_ms": 2000, "rate": 4.0},
]
LONG_WORK_VARIANTS = (
    Variant("no downloads"),
    Variant("downloads, no classes", routes={"work": "short"}, extra_kinds=DOWNLOADS),
    Variant("downloads, long share 0.25", limits={"long_share": 0.25}, extra_kinds=DOWNLOADS),
    Variant("downloads, long share 0.5", limits={"long_share": 0.5}, extra_kinds=DOWNLOADS),
)

# The consortium workload loads its services to 0.7 of their slots; "overload" raises that to 1.5.
SCENARIOS_BY_NAME = {
    "choice": Scenario("consortium", CHOOSER_VARIANTS),
    "overload": Scenario("consortium", QUEUE_VARIANTS, load_factor=1.5 / 0.7),
    "crest": Scenario(
        "consortium", (*QUEUE_VARIANTS, *CHOOSER_VARIANTS[:1]), rate_factor=triangle_wave
    ),
    "long-work": Scenario("shop", LONG_WORK_VARIANTS),
    "slow-server": Scenario(
        "consortium", (CHOOSER_VARIANTS[0], CHOOSER_VARIANTS[-1]), fault={"slow": 10.0}
    ),
    "failing-server": Scenario(
        "consortium", (CHOOSER_VARIANTS[0], CHOOSER_VARIANTS[-1]), fault={"fail": True}
    ),
}
