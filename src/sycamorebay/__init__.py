"""Place requests on backend servers that are allowed and able to serve them."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
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

_MODULES_BY_NAME = {
    "Configuration": "sycamorebay.coordination.configuration",
    "ConflictError": "sycamorebay.errors",
    "Dispatcher": "sycamorebay.coordination.dispatch",
    "Document": "sycamorebay.state.document",
    "DocumentError": "sycamorebay.errors",
    "Member": "sycamorebay.coordination.membership",
    "Membership": "sycamorebay.coordination.membership",
    "NotRun": "sycamorebay.outcomes",
    "Operation": "sycamorebay.coordination.operation_messages",
    "Operations": "sycamorebay.coordination.operations",
    "PeerError": "sycamorebay.errors",
    "Placement": "sycamorebay.session",
    "PlatformError": "sycamorebay.errors",
    "Refusal": "sycamorebay.outcomes",
    "Refused": "sycamorebay.errors",
    "Revision": "sycamorebay.coordination.configuration",
    "Session": "sycamorebay.session",
    "Settings": "sycamorebay.settings",
    "SettingsError": "sycamorebay.errors",
    "SycamorebayError": "sycamorebay.errors",
    "Unknown": "sycamorebay.outcomes",
    "load_document": "sycamorebay.state.document",
    "load_settings": "sycamorebay.settings",
}

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


def __getattr__(name: str) -> Any:
    """Import an exported name on its first use.

    A daemon uses only a few of these names, and importing every module would cost it memory.

    Raises
    ------
    AttributeError
        If the package exports no such name.
    """
    module = _MODULES_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(module), name)
