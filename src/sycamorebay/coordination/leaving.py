"""Notices of leaving backend servers that entries exchange."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

NOTICE_TTL_S = 4.0
MAX_NOTICES = 64


@attrs.frozen
class LeavingNotice:
    """A backend server that announced `age_s` seconds ago that it is leaving."""

    server_id: str
    age_s: float


@attrs.frozen
class NoticeUpdate:
    """Changes from a peer's notices.

    Attributes
    ----------
    seen_at_by_id : dict of str to float
        Time in seconds of the latest sighting of each leaving backend server, for those whose
        sighting is later than the one known before.
    has_new : bool
        Whether any of these servers was not known as leaving.
    """

    seen_at_by_id: dict[str, float]
    has_new: bool


class LeavingNotices:
    """Latest sighting of each leaving backend server.

    An entry passes on its own sightings and those of its peers, each with its age. Only the entry
    that sees a server leaving renews the age, so a notice expires everywhere within `NOTICE_TTL_S`
    seconds after the last sighting.
    """

    def __init__(self) -> None:
        self._seen_at_by_id: dict[str, float] = {}

    def on_observed(self, now: float, server_ids: Iterable[str]) -> bool:
        """Record servers that this entry sees leaving; return whether any was not known."""
        new = False
        for server_id in server_ids:
            new = new or server_id not in self._seen_at_by_id
            self._seen_at_by_id[server_id] = now
        return new

    def on_peer_notices(self, now: float, notices: Iterable[LeavingNotice]) -> NoticeUpdate:
        """Record a peer's notices; expired ones and those beyond `MAX_NOTICES` are ignored."""
        updated: dict[str, float] = {}
        new = False
        for notice in list(notices)[:MAX_NOTICES]:
            seen_at = now - max(0.0, notice.age_s)
            known_at = self._seen_at_by_id.get(notice.server_id)
            if now - seen_at < NOTICE_TTL_S and (known_at is None or seen_at > known_at):
                new = new or known_at is None
                self._seen_at_by_id[notice.server_id] = seen_at
                updated[notice.server_id] = seen_at
        return NoticeUpdate(updated, new)

    def outgoing(self, now: float) -> list[LeavingNotice]:
        """Return up to `MAX_NOTICES` notices for peers, youngest first; drop expired ones."""
        oldest = now - NOTICE_TTL_S
        self._seen_at_by_id = {id_: at for id_, at in self._seen_at_by_id.items() if at > oldest}
        by_age = sorted(self._seen_at_by_id.items(), key=lambda notice: -notice[1])
        return [LeavingNotice(id_, now - at) for id_, at in by_age[:MAX_NOTICES]]
