"""Rows of the page: what one part needs at the design size, how it is known, what carries it."""

from __future__ import annotations

import attrs

MEASURED = "measured"
COMPUTED = "computed"
ASSUMED = "assumed"


@attrs.frozen
class Row:
    """One need at the design size.

    Attributes
    ----------
    role : str
        Whose need it is.
    kind : str
        ``state``, ``messages``, ``processor`` or ``memory``.
    quantity : str
        What is needed.
    value : float
        How much.
    unit : str
        Unit of `value` and `bound`.
    known : str
        ``measured`` at this very size; ``computed`` from slopes; ``assumed`` where an assumption
        of `size.Assumed` enters besides.
    basis : str
        The slopes, figures and sizes that gave the value.
    mechanism : str
        Module under ``sycamorebay`` that carries it; empty for none.
    bound : float or None
        Largest value that fits; None where nobody set one.
    change : str
        What would make it fit.
    """

    role: str
    kind: str
    quantity: str
    value: float
    unit: str
    known: str
    basis: str
    mechanism: str
    bound: float | None = None
    change: str = ""

    def fits(self) -> bool:
        """Whether a mechanism carries it within its bound."""
        within = self.bound is None or self.value <= self.bound
        return bool(self.mechanism) and within
