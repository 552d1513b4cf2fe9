"""A row of the capacity page: what a part of the system needs at the design size."""

from __future__ import annotations

import attrs

MEASURED = "measured"
COMPUTED = "computed"
BASED_ON_ASSUMPTIONS = "assumed"


@attrs.frozen
class Row:
    """A requirement at the design size.

    Attributes
    ----------
    role : str
        Part of the system that has the requirement.
    kind : str
        ``state``, ``messages``, ``processor`` or ``memory``.
    quantity : str
        Quantity that is required.
    value : float
        Amount at the design size.
    unit : str
        Unit of `value` and `bound`.
    evidence : str
        ``measured`` at this size, ``computed`` from slopes, or ``assumed`` if the value also
        depends on an assumption of `size.Assumed`.
    basis : str
        Slopes, figures and sizes from which the value was derived.
    mechanism : str
        Module under ``sycamorebay`` that meets the requirement; empty for none.
    bound : float or None
        Largest value that fits; None without a bound.
    remedy : str
        Change that would make the value fit.
    """

    role: str
    kind: str
    quantity: str
    value: float
    unit: str
    evidence: str
    basis: str
    mechanism: str
    bound: float | None = None
    remedy: str = ""

    def fits(self) -> bool:
        """Return whether there is a mechanism and the value is within the bound."""
        within = self.bound is None or self.value <= self.bound
        return bool(self.mechanism) and within
