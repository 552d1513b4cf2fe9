"""Decides which client account a request belongs to, by the key that it carries."""

from __future__ import annotations

import enum

import attrs

from sycamorebay.state.accounts import AccountDirectory, ClientAccount, UnreadableAccount


class Denial(enum.Enum):
    """Why a request is refused before it is placed; the values are metric labels.

    Attributes
    ----------
    NO_KEY
        The request carries no key, or more than one.
    UNKNOWN_KEY
        No account holds its key.
    UNDECIDED
        Whether an account holds its key is not known here.
    """

    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"
    UNDECIDED = "undecided"


@attrs.frozen
class Denied:
    """The request is refused without being run."""

    denial: Denial
    reason: str


def authenticate(
    accounts: AccountDirectory | None, key: str | None, *, required: bool, is_current: bool
) -> ClientAccount | Denied | None:
    """Return the account of a request, a denial, or None for a request without an account.

    Parameters
    ----------
    accounts : AccountDirectory or None
        Accounts of the routing table in force; None if it has none.
    key : str or None
        Key that the request carries; None without exactly one.
    required : bool
        Whether the route needs a key.
    is_current : bool
        Whether the routing table is known to be up to date. An unknown key may otherwise be newer
        than the table, and a caller does not repeat a request whose key was called unknown.
    """
    if accounts is None:
        return None
    account = accounts.find(key) if key is not None else None
    if isinstance(account, ClientAccount) or not required:
        return account if isinstance(account, ClientAccount) else None
    if isinstance(account, UnreadableAccount):
        return Denied(Denial.UNDECIDED, account.reason)
    if key is None:
        return Denied(Denial.NO_KEY, "the request needs one key")
    if not is_current:
        return Denied(Denial.UNDECIDED, "the key may be newer than what is known here")
    return Denied(Denial.UNKNOWN_KEY, "the key is unknown")
