"""Requests that crash the backend servers which run them, and are therefore no longer sent.

Such a request comes again with a new id, at any daemon. It is recognised by its fingerprint. A
server whose connection ended while it ran a request is taken for crashed, unless it soon answers
something else. After several crashes the request is blocked, at first by the reports that daemons
send each other, and later also by a key in the store, which outlives all daemons.

A request may also have been at those servers by chance. So one daemon, the owner of the key, lets
it run again as a trial. An answer ends the block at every daemon.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from math import inf
from random import Random

import attrs

CRASHES_TO_BLOCK = 3
# Answers that were on their way when the server crashed arrive within this time.
IN_TRANSIT_S = 0.1
# A crashed server needs longer than this to start again, so an earlier answer shows that it lives.
RESTART_S = 1.0
# After this time a request may run once more, and is blocked again if it crashes one more server.
BLOCK_S = 600.0
# Times from the block to the first trial, and between trials.
TRIAL_DELAYS_S = (5.0, 30.0)
MAX_REQUESTS = 4096
MAX_CRASHES = 16
# Until a key that was written shows in the store.
WRITE_RETRY_S = 2.0
# Daemons that only heard of the crashes write the key later, and at different times.
_WRITE_DELAY_S = (1.0, 4.0)
# The owner of a key writes it first when a restored store has forgotten it.
_OWNER_WRITE_DELAY_S = 0.2


@attrs.define
class _Record:
    """What is known of one request.

    Attributes
    ----------
    crashed_at_by_server : dict of str to float
        When the request crashed each start of a server, in seconds.
    blocked_until : float
        End of the block that its confirmed crashes have caused, in seconds.
    stored : bool
        Whether the store has its key.
    forgotten : bool
        Whether a restored store lacks the key, which nobody has removed.
    write_at : float
        When this daemon writes the key, in seconds.
    seen_here : bool
        Whether this daemon saw the crash that caused the block.
    owned : bool
        Whether this daemon is the owner of the key.
    trials : int
        Trials so far.
    trial_at : float
        When the next trial may run, in seconds.
    """

    crashed_at_by_server: dict[str, float] = attrs.field(factory=dict)
    blocked_until: float = -inf
    stored: bool = False
    forgotten: bool = False
    write_at: float = inf
    seen_here: bool = False
    owned: bool = False
    trials: int = 0
    trial_at: float = inf


@attrs.define
class _RecentCrash:
    """A possible crash of one start of a server, and the requests that it ran."""

    at: float
    fingerprints: set[str] = attrs.field(factory=set)


class Quarantine:
    """Blocks requests that have crashed several servers.

    All times are seconds on one clock that the caller chooses. A server is named by its id and its
    start, as it may start again under the same id.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._by_fingerprint: OrderedDict[str, _Record] = OrderedDict()
        self._recent_by_server: dict[str, _RecentCrash] = {}
        self._refuted_at_by_server: dict[str, float] = {}
        self._clear_at_by_fingerprint: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of suspected and blocked requests."""
        return len(self._by_fingerprint)

    def remembered_servers(self) -> int:
        """Return the number of starts of servers that crashed, or were cleared of it, lately."""
        return len(self._recent_by_server.keys() | self._refuted_at_by_server.keys())

    def on_crash(self, now: float, at: float, fingerprint: str, server: str, own: bool) -> bool:
        """Record that a server seems to have crashed under a request, and return whether it is new.

        Parameters
        ----------
        now, at : float
            Current time, and when it crashed, in seconds.
        fingerprint : str
            The request.
        server : str
            Id and start of the server.
        own : bool
            Whether this daemon sent the request, rather than another one that reports it.
        """
        if at <= self._refuted_at_by_server.get(server, -inf):
            return False
        record = self._record(fingerprint)
        crashes = record.crashed_at_by_server
        if server in crashes or len(crashes) >= MAX_CRASHES:
            return False
        crashes[server] = at
        recent = self._recent_by_server.setdefault(server, _RecentCrash(at))
        recent.at = max(recent.at, at)
        recent.fingerprints.add(fingerprint)
        if len(crashes) == CRASHES_TO_BLOCK:
            record.seen_here = own
            record.write_at = now + RESTART_S + (0.0 if own else self._write_delay_s())
        self._forget_old(now)
        return True

    def on_answer(self, now: float, server: str) -> bool:
        """Record that a server answered, and return whether that refutes a crash of it."""
        recent = self._recent_by_server.get(server)
        if recent is None or not IN_TRANSIT_S <= now - recent.at <= RESTART_S:
            return False
        return self.on_refuted(now, server)

    def on_refuted(self, now: float, server: str) -> bool:
        """Record that a server has not crashed so far, and return whether that is new."""
        if now - self._refuted_at_by_server.get(server, -inf) < IN_TRANSIT_S:
            return False
        self._refuted_at_by_server[server] = now
        recent = self._recent_by_server.pop(server, None)
        for fingerprint in recent.fingerprints if recent is not None else ():
            record = self._by_fingerprint.get(fingerprint)
            if record is not None:
                record.crashed_at_by_server.pop(server, None)
                self._drop_if_empty(fingerprint, record)
        self._forget_old(now)
        return True

    def on_survived(self, fingerprint: str, own: bool) -> bool:
        """Record that a server answered a request, and return whether it was suspected till then.

        Parameters
        ----------
        fingerprint : str
            The request.
        own : bool
            Whether this daemon got the answer, and so has to clear the key.
        """
        record = self._by_fingerprint.pop(fingerprint, None)
        if record is not None and (record.stored or record.forgotten) and own:
            self._clear_at_by_fingerprint[fingerprint] = -inf
        return record is not None

    def due_clears(self, now: float) -> tuple[str, ...]:
        """Return the requests whose keys in the store are to be cleared.

        The same request is returned again after `WRITE_RETRY_S`, unless `on_cleared` was called.
        """
        due = tuple(one for one, at in self._clear_at_by_fingerprint.items() if now >= at)
        for fingerprint in due:
            self._clear_at_by_fingerprint[fingerprint] = now + WRITE_RETRY_S
        return due

    def clear_again(self, fingerprint: str) -> None:
        """Let the key of a request be cleared that a restored store shows as not cleared."""
        self._clear_at_by_fingerprint[fingerprint] = -inf

    def on_cleared(self, fingerprint: str) -> None:
        """Record that the key of a request was cleared in the store."""
        self._clear_at_by_fingerprint.pop(fingerprint, None)
        self._by_fingerprint.pop(fingerprint, None)

    def blocking_crashes(self) -> Iterator[tuple[str, str, float]]:
        """Return the crashes of requests that are blocked and not in the store yet.

        Each has the request's fingerprint, the server, and the time in seconds.
        """
        for fingerprint, record in self._by_fingerprint.items():
            if self._is_held(record) and not record.stored:
                for server, at in record.crashed_at_by_server.items():
                    yield fingerprint, server, at

    def trial_is_due(self, now: float, fingerprint: str) -> bool:
        """Return whether this daemon may let a blocked request run as a trial."""
        record = self._by_fingerprint.get(fingerprint)
        if record is None or now < record.trial_at:
            return False
        return _crashed_trials(record) < len(TRIAL_DELAYS_S)

    def on_trial(self, now: float, fingerprint: str) -> None:
        """Record that a blocked request runs as a trial."""
        record = self._by_fingerprint[fingerprint]
        record.trials += 1
        last = record.trials >= len(TRIAL_DELAYS_S)
        ends = last or not record.owned
        record.trial_at = inf if ends else now + TRIAL_DELAYS_S[record.trials]

    def on_stored(self, now: float, fingerprint: str, owned: bool) -> None:
        """Record that the store has the key of a request, and whether this daemon owns it."""
        record = self._record(fingerprint)
        if owned and not record.owned:
            record.trial_at = now + TRIAL_DELAYS_S[0]
        elif not owned:
            record.trial_at = inf
        record.owned = owned
        record.stored = True
        record.forgotten = False
        record.blocked_until = max(record.blocked_until, now + BLOCK_S)
        self._forget_old(now)

    def on_removed(self, now: float, fingerprint: str) -> None:
        """Record that the store has the key of a request no longer.

        A daemon that knows of the crashes itself keeps the block to its end, and writes the key
        again: an outage of the store may have removed it too early.
        """
        record = self._by_fingerprint.get(fingerprint)
        if record is None or not record.stored:
            return
        record.stored = False
        record.write_at = now + self._write_delay_s()
        if len(record.crashed_at_by_server) < CRASHES_TO_BLOCK:
            record.blocked_until = now

    def on_forgotten(self, now: float, fingerprint: str, owned: bool) -> None:
        """Record that a restored store lacks the key of a request, and who owns it.

        The block goes on to its end at every daemon, and its owner writes the key again; if the
        owner is gone, another one does a little later.
        """
        if fingerprint not in self._by_fingerprint:
            self.on_stored(now, fingerprint, owned)
        record = self._by_fingerprint[fingerprint]
        if record.forgotten:
            return
        record.stored = False
        record.forgotten = True
        record.write_at = now + (_OWNER_WRITE_DELAY_S if record.owned else self._write_delay_s())

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request may have crashed a server."""
        return fingerprint in self._by_fingerprint

    def blocked_s(self, now: float, fingerprint: str) -> float:
        """Return for how many seconds a request is still blocked; 0 if it may be sent."""
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            return 0.0
        self._update(now, record)
        if not self._is_held(record):
            self._drop_if_empty(fingerprint, record)
            return 0.0
        return max(1.0, record.blocked_until - now) if record.blocked_until > now else BLOCK_S

    def due_writes(self, now: float, for_others: bool) -> dict[str, float]:
        """Return the requests whose keys are to be written to the store, and for how long.

        The same request is returned again after `WRITE_RETRY_S`, unless `on_stored` was called.

        Parameters
        ----------
        now : float
            Current time in seconds.
        for_others : bool
            Whether this daemon also writes the keys of requests whose last crash another one saw.
            If all daemons did, the calls to a store that is down would grow with the fleet.

        Returns
        -------
        dict of str to float
            Lifetimes of the keys in seconds, by the fingerprint of the request.
        """
        due = {}
        for fingerprint, record in list(self._by_fingerprint.items()):
            self._update(now, record)
            self._drop_if_empty(fingerprint, record)
            left_s = record.blocked_until - now
            is_due = not record.stored and now >= record.write_at
            is_own = record.seen_here or record.owned
            if is_due and left_s > WRITE_RETRY_S and (for_others or is_own):
                record.write_at = now + WRITE_RETRY_S
                due[fingerprint] = left_s
        return due

    def _record(self, fingerprint: str) -> _Record:
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            record = self._by_fingerprint[fingerprint] = _Record()
        self._by_fingerprint.move_to_end(fingerprint)
        return record

    def _write_delay_s(self) -> float:
        return self._rng.uniform(*_WRITE_DELAY_S)

    def _is_held(self, record: _Record) -> bool:
        crashed = len(record.crashed_at_by_server)
        return record.stored or record.forgotten or crashed >= CRASHES_TO_BLOCK

    def _update(self, now: float, record: _Record) -> None:
        """Confirm crashes that no answer has refuted, and end a block whose time is over."""
        crashes = record.crashed_at_by_server
        if record.blocked_until == -inf:
            confirmed = sum(now - at > RESTART_S for at in crashes.values())
            if confirmed >= CRASHES_TO_BLOCK:
                record.blocked_until = now + BLOCK_S
        elif now >= record.blocked_until and not record.stored:
            record.blocked_until = -inf
            record.forgotten = False
            record.write_at = inf
            latest = sorted(crashes, key=lambda server: crashes[server])
            record.crashed_at_by_server = {
                server: now for server in latest[-(CRASHES_TO_BLOCK - 1) :]
            }
        for server, at in list(record.crashed_at_by_server.items()):
            if now - at > BLOCK_S + RESTART_S:
                del record.crashed_at_by_server[server]

    def _drop_if_empty(self, fingerprint: str, record: _Record) -> None:
        if not (record.crashed_at_by_server or record.stored or record.forgotten):
            self._by_fingerprint.pop(fingerprint, None)

    def _forget_old(self, now: float) -> None:
        for server, recent in list(self._recent_by_server.items()):
            if now - recent.at > RESTART_S:
                del self._recent_by_server[server]
        for server, refuted_at in list(self._refuted_at_by_server.items()):
            if now - refuted_at > RESTART_S:
                del self._refuted_at_by_server[server]
        if len(self._by_fingerprint) > MAX_REQUESTS:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        """Forget the oldest request, preferably one that is only suspected."""
        records = self._by_fingerprint.items()
        suspected = (one for one, record in records if not self._is_held(record))
        del self._by_fingerprint[next(suspected, next(iter(self._by_fingerprint)))]


def _crashed_trials(record: _Record) -> int:
    """Return how many trials, of this daemon and of other owners, have crashed a server.

    Every daemon is told of each crash. Those soon after the block were on their way before it.
    """
    crashed_at = sorted(record.crashed_at_by_server.values())
    since = [at - crashed_at[CRASHES_TO_BLOCK - 1] for at in crashed_at[CRASHES_TO_BLOCK:]]
    return sum(passed_s >= TRIAL_DELAYS_S[0] for passed_s in since)
