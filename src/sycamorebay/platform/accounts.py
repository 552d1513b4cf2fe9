"""Decodes the client accounts of the operator's routing table, which the platform calls tenants."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sycamorebay.decoding import UndecodableError, decoding
from sycamorebay.platform.values import ValueFault, integer, number, table
from sycamorebay.state.accounts import (
    AccountDirectory,
    AccountKeys,
    ClientAccount,
    UnreadableAccount,
)


def read_accounts(document: Mapping[str, Any], faults: list[str]) -> AccountDirectory | None:
    """Return the accounts of a routing table, or None if it has none.

    What cannot be decoded costs only the requests of its own account, and is added to `faults`.
    """
    if "tenants" not in document:
        return None
    try:
        accounts = table(document, "tenants")
    except ValueFault as error:
        faults.append(str(error))
        unreadable = AccountKeys(UnreadableAccount("the accounts could not be decoded"), (), False)
        return AccountDirectory([unreadable])
    directory = AccountDirectory(
        _read_account(name, fields, faults) for name, fields in accounts.items()
    )
    if directory.shared_keys:
        faults.append(f"accounts: {directory.shared_keys} keys are held by two accounts")
    return directory


def _read_account(name: str, fields: Any, faults: list[str]) -> AccountKeys:
    try:
        with decoding("account"):
            return _account_keys(name, fields, faults)
    except UndecodableError as error:
        faults.append(f"account {name}: {error}")
        return AccountKeys(UnreadableAccount("an account could not be decoded"), (), False)


def _account_keys(name: str, fields: Any, faults: list[str]) -> AccountKeys:
    values = fields.get("api_keys", []) if isinstance(fields, dict) else None
    if not isinstance(values, list):
        raise ValueFault("expected a JSON object with a list of keys")
    keys = tuple(value for value in values if isinstance(value, str) and value)
    if len(keys) < len(values):
        faults.append(f"account {name}: {len(values) - len(keys)} keys are not text")
    return AccountKeys(_account(name, fields, faults), keys, len(keys) == len(values))


def _account(
    name: str, fields: Mapping[str, Any], faults: list[str]
) -> ClientAccount | UnreadableAccount:
    try:
        name.encode("latin-1")
    except UnicodeEncodeError:
        faults.append(f"account {name!r}: its name cannot be sent in a header")
        return UnreadableAccount("the account's name cannot be sent to a server")

    def read_field(reader: Any, field: str) -> Any:
        """Return an optional field; None if it is missing or cannot be decoded."""
        if field not in fields:
            return None
        try:
            return reader(fields, field)
        except ValueFault as error:
            faults.append(f"account {name}: {error}; it does not apply")
            return None

    return ClientAccount(
        name=name,
        priority=read_field(integer, "priority"),
        # The platform's 0 means no limit.
        rate_per_s=read_field(number, "per_s") or None,
        burst=read_field(number, "burst") or 0.0,
    )
