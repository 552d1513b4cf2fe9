"""What a refused caller is told: tagged outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Literal

DEFAULT_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and may safely be sent again.

    Attributes
    ----------
    step : str
        Step at which it was refused, such as ``route`` or ``admit``.
    peer : str
        Other side of that step; empty where there is none.
    reason : str
        One sentence for people.
    status : int
        HTTP status.
    retry_after_s : int
        When to come back, in seconds.
    """

    tag: ClassVar[Literal["not-run"]] = "not-run"
    step: str
    peer: str
    reason: str
    status: int = 503
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; ask before sending it again."""

    tag: ClassVar[Literal["unknown"]] = "unknown"
    step: str
    peer: str
    reason: str
    status: int = 502
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


Refusal = NotRun | Unknown
