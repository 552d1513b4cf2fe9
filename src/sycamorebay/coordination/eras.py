"""The era of the store that this daemon believes, from what single answers state.

The store states its era in each answer. An answer may lack it, or state nonsense; one answer alone
must not lead a daemon into an era from which it would refuse all that the store really says.
"""

from __future__ import annotations

# An era rises by one with each restore, so a single answer suffices for that.
MAX_CREDIBLE_STEP = 1


class DoubtfulEraError(ValueError):
    """An answer skips eras, which only a second answer confirms."""


class BelievedEra:
    """The era of the store, as of its answers so far.

    Attributes
    ----------
    era : int
        The era that is believed; 0 before the first answer.
    """

    def __init__(self) -> None:
        self.era = 0
        self._doubted: int | None = None

    def on_known(self, era: int) -> None:
        """Record an era that this daemon has learnt otherwise, as from a peer."""
        self.era = max(self.era, era)

    def on_answer(self, stated: int | None) -> int:
        """Record an answer and return the era that it belongs to.

        An answer without an era belongs to the believed one: if the store was restored meanwhile,
        the next answer that states its era tells so. An earlier era is returned as stated, and
        never believed.

        Parameters
        ----------
        stated : int or None
            The era that the answer states; None if it states none that can be read.

        Raises
        ------
        DoubtfulEraError
            If the era skips others and the answer before did not state it as well.
        """
        if stated is None:
            return self.era
        doubted, self._doubted = self._doubted, None
        if stated > self.era + MAX_CREDIBLE_STEP and stated != doubted:
            self._doubted = stated
            raise DoubtfulEraError(f"the answer is of era {stated}, the known one is {self.era}")
        self.era = max(self.era, stated)
        return stated
