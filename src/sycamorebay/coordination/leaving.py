"""News of backend servers that are leaving, as it spreads between entries."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

NOTICE_TTL_S = 4.0
MAX_NOTICES = 64


@attrs.frozen
class LeavingNotice:
    """A backend server that said `age_s` seconds ago that it is leaving."""

    server_id: str
    age_s: float


@attrs.frozen
class NoticeUpdate:
    """What a peer's news brought.

    Attributes
    ----------
    seen_at_by_id : dict
        When each backend server was seen to be leaving, where that is younger than known here.
    new : bool
        Whether any of them was not known here.
    """

    seen_at_by_id: dict[str, float]
    new: bool


class LeavingNotices:
    """When each backend server was last known to be leaving.

    An entry passes on what it saw itself and what it was told, with its age. Nobody makes news
    younger that was told, so news that nobody sees any more dies out within `NOTICE_TTL_S`.
    """

    def __init__(self) -> None:
        self._seen_at_by_id: dict[str, float] = {}

    def on_seen(self, now: float, server_ids: Iterable[str]) -> bool:
        """Take what this entry sees itself; whether any of it is new."""
        new = False
        for server_id in server_ids:
            new = new or server_id not in self._seen_at_by_id
            self._seen_at_by_id[server_id] = now
        return new

    def on_peer_notices(self, now: float, notices: Iterable[LeavingNotice]) -> NoticeUpdate:
        """Take a peer's news."""
        younger: dict[str, float] = {}
        new = False
        for item in list(notices)[:MAX_NOTICES]:
            seen_at = now - max(0.0, item.age_s)
            known_at = self._seen_at_by_id.get(item.server_id)
            if now - seen_at < NOTICE_TTL_S and (known_at is None or seen_at > known_at):
                new = new or known_at is None
                self._seen_at_by_id[item.server_id] = seen_at
                younger[item.server_id] = seen_at
        return NoticeUpdate(younger, new)

    def outgoing(self, now: float) -> list[LeavingNotice]:
        """Return the news to pass on, youngest first and bounded."""
        oldest = now - NOTICE_TTL_S
        self._seen_at_by_id = {id_: at for id_, at in self._seen_at_by_id.items() if at > oldest}
        by_age = sorted(self._seen_at_by_id.items(), key=lambda item: -item[1])
        return [LeavingNotice(id_, now - at) for id_, at in by_age[:MAX_NOTICES]]
