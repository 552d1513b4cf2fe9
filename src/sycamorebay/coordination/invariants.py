"""Invariant checks that are also active in production."""

from __future__ import annotations

from collections import Counter


class InvariantViolation(AssertionError):
    """An invariant did not hold."""


class Invariants:
    """Counts invariant violations by name.

    Parameters
    ----------
    strict : bool
        Whether a violation is also raised, as in tests.

    Attributes
    ----------
    violations_by_name : Counter of str
        Number of violations of each invariant.
    """

    def __init__(self, *, strict: bool = False) -> None:
        self.strict = strict
        self.violations_by_name: Counter[str] = Counter()

    def check(self, holds: bool, name: str) -> bool:
        """Count a violation unless `holds` is true, and return `holds`.

        Raises
        ------
        InvariantViolation
            If `holds` is false and checks are strict.
        """
        if not holds:
            self.violations_by_name[name] += 1
            if self.strict:
                raise InvariantViolation(name)
        return holds
