"""The exception tree; every error carries its request, response, step and peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sycamorebay.outcomes import Refusal
    from sycamorebay.state.faults import Fault


class SycamorebayError(Exception):
    """Base of all errors.

    Parameters
    ----------
    message : str
        What went wrong.
    step : str
        The step at which it arose, such as ``connect``.
    peer : str
        The other side, such as a backend server's id.
    request, response : object, optional
        What was asked and what came back.
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
    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults), step="check")
        self.faults = faults


class SettingsError(_FaultsError):
    """Settings with faults."""


class DocumentError(_FaultsError):
    """A document with faults."""


class Refused(SycamorebayError):
    """A request was refused; `refusal` tells how."""

    def __init__(self, refusal: Refusal, request: Any = None) -> None:
        super().__init__(refusal.reason, step=refusal.step, peer=refusal.peer, request=request)
        self.refusal = refusal


class PlatformError(SycamorebayError):
    """The platform's service failed or could not be reached."""


class ConflictError(SycamorebayError):
    """Someone else changed the configuration first."""


class UnknownOutcomeError(SycamorebayError):
    """Whether a change took effect is not known."""


class NotTriedError(SycamorebayError):
    """A document was never in force in the trial environment."""


class PeerError(SycamorebayError):
    """A peer failed, could not be reached or is not trusted."""
