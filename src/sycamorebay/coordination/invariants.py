"""Invariants that stay on in production."""

from __future__ import annotations

from collections import Counter


class InvariantViolation(AssertionError):
    """An invariant did not hold."""


class Invariants:
    """Counts violations by name.

    Parameters
    ----------
    strict : bool
        Whether a violation raises, as in tests, or is only counted.
    """

    def __init__(self, *, strict: bool = False) -> None:
        self.strict = strict
        self.violations_by_name: Counter[str] = Counter()

    def check(self, holds: bool, name: str) -> bool:
        """Count, and where strict raise, an invariant that does not hold.

        Raises
        ------
        InvariantViolation
            Where strict and `holds` is false.
        """
        if not holds:
            self.violations_by_name[name] += 1
            if self.strict:
                raise InvariantViolation(name)
        return holds
