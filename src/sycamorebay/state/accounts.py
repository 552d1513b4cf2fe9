"""Client accounts and the keys that their callers send."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs


@attrs.frozen
class ClientAccount:
    """One client account.

    Attributes
    ----------
    name : str
        Unique in the routing table.
    priority : int or None
        Priority of its requests, where 0 is the most urgent; None if their routes decide.
    rate_per_s : float or None
        Requests per second that all gateways together may run; None without limit.
    burst : float
        Requests beyond the rate that may run at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float = 0.0

    @property
    def weight(self) -> float:
        """Share in the servers' work relative to other accounts.

        It is the rate, which operators set by what an account needs; 1 for an account without one.
        """
        return 1.0 if self.rate_per_s is None else self.rate_per_s


@attrs.frozen
class UnreadableAccount:
    """An account whose callers cannot be told from others; their requests are refused as not run.

    Attributes
    ----------
    reason : str
        What could not be decoded; it names no key.
    """

    reason: str


@attrs.frozen
class AccountKeys:
    """One account with the keys of its callers.

    Attributes
    ----------
    account : ClientAccount or UnreadableAccount
        The account.
    keys : tuple of str
        Its keys, which are secrets.
    complete : bool
        Whether all of its keys could be decoded.
    """

    account: ClientAccount | UnreadableAccount
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    complete: bool = True


class AccountDirectory:
    """The accounts of one routing table by key.

    A key that two accounts hold identifies neither of them.

    Parameters
    ----------
    entries : iterable of AccountKeys
        All accounts.
    """

    def __init__(self, entries: Iterable[AccountKeys]) -> None:
        self._by_key: dict[str, ClientAccount | UnreadableAccount] = {}
        self._by_name: dict[str, ClientAccount] = {}
        self._complete = True
        self.shared_keys = 0
        for entry in entries:
            self._add(entry)

    def _add(self, entry: AccountKeys) -> None:
        self._complete = self._complete and entry.complete
        if isinstance(entry.account, ClientAccount):
            self._by_name[entry.account.name] = entry.account
        for key in set(entry.keys):
            if key in self._by_key:
                self.shared_keys += 1
                self._by_key[key] = UnreadableAccount("two accounts hold this key")
            else:
                self._by_key[key] = entry.account

    @property
    def by_name(self) -> Mapping[str, ClientAccount]:
        """The accounts that could be decoded, by name."""
        return self._by_name

    def find(self, key: str) -> ClientAccount | UnreadableAccount | None:
        """Return the account that holds a key, or None if no account holds it."""
        account = self._by_key.get(key)
        if account is None and not self._complete:
            return UnreadableAccount("a key of some account could not be decoded")
        return account
