"""Place every request in an allowed place, on a backend server able to take it."""

from sycamorebay.coordination.configuration import Configuration, Revision
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.coordination.operation_messages import Operation
from sycamorebay.coordination.operations import Operations
from sycamorebay.errors import (
    ConflictError,
    DocumentError,
    PeerError,
    PlatformError,
    Refused,
    SettingsError,
    SycamorebayError,
)
from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.session import Placement, Session
from sycamorebay.settings import Settings, load_settings
from sycamorebay.state.document import Document, load_document

__version__ = "0.1.0"

__all__ = [
    "Configuration",
    "ConflictError",
    "Dispatcher",
    "Document",
    "DocumentError",
    "Member",
    "Membership",
    "NotRun",
    "Operation",
    "Operations",
    "PeerError",
    "Placement",
    "PlatformError",
    "Refusal",
    "Refused",
    "Revision",
    "Session",
    "Settings",
    "SettingsError",
    "SycamorebayError",
    "Unknown",
    "load_document",
    "load_settings",
]
