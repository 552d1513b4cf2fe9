"""Exceptions that this package raises; all derive from `SycamorebayError`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sycamorebay.outcomes import Refusal
    from sycamorebay.state.faults import Fault


class SycamorebayError(Exception):
    """Base class of all errors of this package.

    Parameters
    ----------
    message : str
        Description of the failure.
    step : str
        Step that failed, such as ``connect``.
    peer : str
        Other side of that step, such as a backend server's id; empty if there is none.
    request, response : object, optional
        Request that failed, and the response to it, as far as they are known.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        request: Any = None,
        response: Any = None,
    ) -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer
        self.request = request
        self.response = response


class _FaultsError(SycamorebayError):
    """Base class of the errors that carry every fault found by a check, in `faults`."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults), step="check")
        self.faults = faults


class SettingsError(_FaultsError):
    """Raised when settings cannot be read or have faults."""


class DocumentError(_FaultsError):
    """Raised when a document has faults or is too long to store."""


class Refused(SycamorebayError):
    """Raised when a session refuses a request.

    Parameters
    ----------
    refusal : Refusal
        Outcome with the step, the reason and the HTTP status.
    request : object, optional
        Refused request.
    """

    def __init__(self, refusal: Refusal, request: Any = None) -> None:
        super().__init__(refusal.reason, step=refusal.step, peer=refusal.peer, request=request)
        self.refusal = refusal


class PlatformError(SycamorebayError):
    """Raised when the platform's service fails, cannot be reached or holds a damaged value."""


class ConflictError(SycamorebayError):
    """Raised when another operator's change of the configuration was accepted first."""


class UnknownOutcomeError(SycamorebayError):
    """Raised when it is unknown whether a change of the configuration took effect."""


class NotTriedError(SycamorebayError):
    """Raised when a document to promote was not in force in the trial environment."""


class PeerError(SycamorebayError):
    """Raised when a peer fails, cannot be reached or authenticated, or sends an invalid message."""
