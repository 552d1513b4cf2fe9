"""Outcomes of refused requests, tagged by whether the request may have run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Literal

DEFAULT_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class NotRun:
    """Outcome of a request that was not run and may safely be sent again.

    Attributes
    ----------
    step : str
        Step at which the request was refused, such as ``route`` or ``admit``.
    peer : str
        Other side of that step; empty if there is none.
    reason : str
        Human-readable explanation in one sentence.
    status : int
        HTTP status of the refusal.
    retry_after_s : float
        Time after which the caller may send the request again, in seconds.
    """

    tag: ClassVar[Literal["not-run"]] = "not-run"
    step: str
    peer: str
    reason: str
    status: int = 503
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Unknown:
    """Outcome of a request that may have run; the caller has to check before it sends it again.

    The attributes are those of `NotRun`.
    """

    tag: ClassVar[Literal["unknown"]] = "unknown"
    step: str
    peer: str
    reason: str
    status: int = 502
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


Refusal = NotRun | Unknown
