"""Exchange of permits of client accounts: requests to the owner, and its grants.

A leaf sends its request to its primary relay, which forwards it to the owner of the account; a
relay sends it to the owner itself, unless it is new and does not know all relays. The owner answers
the daemon that asks directly. A daemon without limited accounts, or whose limited accounts are
idle, sends nothing.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from itertools import count
from typing import Protocol

import attrs

from sycamorebay import log
from sycamorebay.coordination.account_limit import AccountLimitBound, PermitAnswer
from sycamorebay.coordination.account_permits import UNKNOWN, Admission, PermitAsker
from sycamorebay.coordination.fleet_view import Address
from sycamorebay.protocol.permit_rows import (
    PERMIT_GRANT,
    PermitGrant,
    PermitRequest,
    account_hash,
    decode_grant,
    decode_request,
    encode_grant,
    encode_request,
)
from sycamorebay.state.accounts import ClientAccount
from sycamorebay.transport.clock import boottime
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.peers.owned_limits import FleetFacts, OwnedLimits

# A request without an answer is repeated and given up after these times, and a round trip more.
REPEAT_S = 0.03
GIVE_UP_S = 0.1
# A request is forwarded at most this often, as relays that see different fleets could otherwise
# send it in circles.
MAX_HOPS = 2
# Longer round trips are those of an overloaded daemon and not of a slow link.
MAX_ROUND_TRIP_S = 0.1
# A daemon that stood still for longer may have missed that another one became owner.
PAUSE_S = 1.0
# Weight of a new round trip time in the mean.
_ROUND_TRIP_WEIGHT = 0.125
_MAX_NUMBER = 2**32

_log = log.get_logger("quota")


class PermitFleet(FleetFacts, Protocol):
    """Knows the daemons to ask, and sends messages to them."""

    def relay_address(self, name: str) -> Address | None:
        """Return the address of a relay that is alive, or None."""
        ...

    def forwarder_addresses(self) -> list[Address]:
        """Return the addresses of relays that forward requests, the best one first."""
        ...

    def send_permits(self, data: bytes, address: Address) -> None:
        """Send a message."""
        ...


@attrs.define(eq=False)
class _Ask:
    """A request for permits that has no answer yet, with the requests of callers that wait."""

    number: int
    asker: PermitAsker
    waiting: list[asyncio.Future[Admission]]
    sent_at: float
    data: bytes
    timer: asyncio.TimerHandle | None = None
    repeated: bool = False


class PermitExchange:
    """Decides whether requests may run under the limits of their accounts.

    Parameters
    ----------
    own_name : str
        Name of this daemon.
    started_ms : int
        Wall time of the start of this daemon, in milliseconds.
    quota : AccountLimitBound
        Bound on the requests of an account.
    fleet : PermitFleet
        Knows the daemons to ask.
    counters : Counters
        Metrics of this daemon.
    rng : random.Random
        Seeded random source.

    Attributes
    ----------
    boot_clock : callable
        Returns the time in seconds, including that during which the machine was suspended.
    """

    def __init__(
        self,
        own_name: str,
        started_ms: int,
        quota: AccountLimitBound,
        fleet: PermitFleet,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        self.boot_clock: Callable[[], float] = boottime
        self._fleet = fleet
        self._counters = counters
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._owned = OwnedLimits(self._loop.time(), own_name, started_ms, quota, fleet, counters)
        self._askers_by_name: dict[str, PermitAsker] = {}
        self._waiting_by_name: dict[str, list[asyncio.Future[Admission]]] = {}
        self._asks_by_number: dict[int, _Ask] = {}
        # A restarted daemon must not get the answers to the requests of its earlier start.
        self._numbers = count(rng.randrange(_MAX_NUMBER))
        self._round_trip_s = 0.0
        self._awake_at: float | None = None

    def on_accounts(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Apply the accounts of the routing table in force, by name."""
        self._owned.on_accounts(self._loop.time(), accounts)
        for name in self._askers_by_name.keys() - accounts.keys():
            del self._askers_by_name[name]

    def on_relays(self) -> None:
        """Apply a change of the relays that are alive, or of the role of this daemon."""
        self._owned.on_relays(self._loop.time())

    def on_tick(self) -> None:
        """Notice a pause of this daemon, a changed size of the fleet, and ends of overload."""
        now = self._loop.time()
        self._check_pause(now)
        self._owned.on_tick(now)

    async def admit(self, account: ClientAccount, left_s: float) -> Admission:
        """Return whether a request of an account may run.

        Cancel this coroutine when the caller has disconnected.

        Parameters
        ----------
        account : ClientAccount
            The account, which has a limit.
        left_s : float
            Time until the deadline of the request, in seconds.
        """
        now = self._loop.time()
        self._check_pause(now)
        asker = self._asker(account)
        if self._owned.owns(account.name):
            return self._admit_as_owner(now, asker)
        admission = asker.on_request(now, self._owned.own_share_per_s(now, account))
        if admission is None:
            return await self._wait(asker, left_s)
        if asker.lost_at is not None and not self._is_asking(asker):
            self._ask(asker, [])
        return admission

    def on_message(self, data: bytes, address: Address) -> None:
        """Handle a message of another daemon.

        Raises
        ------
        ValueError
            If the message cannot be decoded.
        """
        self._check_pause(self._loop.time())
        if data[:1] == PERMIT_GRANT:
            self._on_grant(decode_grant(data))
        else:
            self._on_request(decode_request(data), address)

    def _asker(self, account: ClientAccount) -> PermitAsker:
        asker = self._askers_by_name.get(account.name)
        if asker is None:
            asker = self._askers_by_name[account.name] = PermitAsker(account, self._rng)
        asker.account = account
        return asker

    def _admit_as_owner(self, now: float, asker: PermitAsker) -> Admission:
        answer = self._owned.answer(now, asker.account, 1, 0)
        if answer.known:
            self._on_regained(now, asker)
            return asker.on_answer(now, 1, answer)[0]
        self._on_lost(now, asker, "not settled")
        return asker.decide_alone(now, self._owned.own_share_per_s(now, asker.account))

    async def _wait(self, asker: PermitAsker, left_s: float) -> Admission:
        future: asyncio.Future[Admission] = self._loop.create_future()
        name = asker.account.name
        waiting = self._waiting_by_name.get(name)
        if waiting is None:
            # All requests of one iteration of the event loop are sent as one.
            waiting = self._waiting_by_name[name] = []
            self._loop.call_soon(self._ask_for_waiting, asker)
        waiting.append(future)
        if left_s > GIVE_UP_S + MAX_ROUND_TRIP_S:
            return await future
        try:
            async with asyncio.timeout(left_s):
                return await future
        except TimeoutError:
            return UNKNOWN

    def _ask_for_waiting(self, asker: PermitAsker) -> None:
        waiting = self._waiting_by_name.pop(asker.account.name)
        if waiting := [future for future in waiting if not future.done()]:
            self._ask(asker, waiting)

    def _ask(self, asker: PermitAsker, waiting: list[asyncio.Future[Admission]]) -> None:
        number = next(self._numbers) % _MAX_NUMBER
        advance = asker.advance() if waiting else 0
        request = PermitRequest(account_hash(asker.account.name), number, len(waiting), advance)
        ask = _Ask(number, asker, waiting, self._loop.time(), encode_request(request))
        self._asks_by_number[number] = ask
        self._counters.permit_requests += 1
        if self._send(ask, 0):
            ask.timer = self._loop.call_later(REPEAT_S + self._round_trip_s, self._repeat, ask)
        else:
            self._give_up(ask, "no relay is known")

    def _is_asking(self, asker: PermitAsker) -> bool:
        return any(ask.asker is asker for ask in self._asks_by_number.values())

    def _send(self, ask: _Ask, attempt: int) -> bool:
        """Send a request to the owner, or to a relay that forwards it; False without any."""
        address = self._next_address(ask.asker.account.name, attempt)
        if address is None:
            return False
        self._fleet.send_permits(ask.data, address)
        return True

    def _next_address(self, account: str, attempt: int) -> Address | None:
        """Return the address of the owner, or of a relay that forwards requests to it."""
        owner = self._owned.owner(self._loop.time(), account)
        if owner is not None:
            return self._fleet.relay_address(owner)
        # The second relay may be alive when the first one is not.
        forwarders = self._fleet.forwarder_addresses()
        return forwarders[attempt % len(forwarders)] if forwarders else None

    def _repeat(self, ask: _Ask) -> None:
        ask.repeated = True
        self._counters.permit_requests_repeated += 1
        self._send(ask, 1)
        ask.timer = self._loop.call_later(GIVE_UP_S - REPEAT_S, self._give_up, ask, "no answer")

    def _give_up(self, ask: _Ask, reason: str) -> None:
        del self._asks_by_number[ask.number]
        self._counters.permit_requests_unanswered += 1
        self._decide_alone(ask, reason)

    def _decide_alone(self, ask: _Ask, reason: str) -> None:
        now = self._loop.time()
        self._on_lost(now, ask.asker, reason)
        share_per_s = self._owned.own_share_per_s(now, ask.asker.account)
        for future in ask.waiting:
            if not future.done():
                future.set_result(ask.asker.decide_alone(now, share_per_s))

    def _on_grant(self, grant: PermitGrant) -> None:
        ask = self._asks_by_number.get(grant.number)
        if ask is None or account_hash(ask.asker.account.name) != grant.account:
            self._counters.permit_grants_late += 1
            return
        del self._asks_by_number[ask.number]
        if ask.timer is not None:
            ask.timer.cancel()
        if not grant.known:
            self._decide_alone(ask, "the relay asked does not decide")
            return
        now = self._loop.time()
        if not ask.repeated:
            taken_s = min(MAX_ROUND_TRIP_S, now - ask.sent_at)
            self._round_trip_s += _ROUND_TRIP_WEIGHT * (taken_s - self._round_trip_s)
        self._on_regained(now, ask.asker)
        waiting = [future for future in ask.waiting if not future.done()]
        answer = PermitAnswer(grant.granted, grant.retry_after_s)
        decisions = ask.asker.on_answer(now, len(waiting), answer)
        for future, admission in zip(waiting, decisions, strict=True):
            future.set_result(admission)

    def _on_request(self, request: PermitRequest, address: Address) -> None:
        account = self._owned.account(request.account)
        asker = request.asker or address
        if (":" in asker[0]) != (":" in address[0]):
            raise ValueError("the permit request names an address of another family")
        answer = PermitAnswer(known=False)
        if account is not None and self._owned.owns(account.name):
            answer = self._owned.answer_peer(
                self._loop.time(),
                account,
                request.wanted,
                request.advance,
                (asker, request.number),
            )
        elif request.hops < MAX_HOPS and self._forward(request, asker):
            return
        grant = PermitGrant(
            request.account, request.number, answer.granted, answer.retry_after_s, answer.known
        )
        self._fleet.send_permits(encode_grant(grant), asker)

    def _forward(self, request: PermitRequest, asker: Address) -> bool:
        """Forward the request of another daemon to the owner; False if none is known."""
        account = self._owned.account(request.account)
        if account is None or not self._fleet.is_relay:
            return False
        address = self._next_address(account.name, 0)
        if address is None:
            return False
        self._counters.permit_requests_forwarded += 1
        forwarded = attrs.evolve(request, asker=asker, hops=request.hops + 1)
        self._fleet.send_permits(encode_request(forwarded), address)
        return True

    def _check_pause(self, now: float) -> None:
        awake_at = self.boot_clock()
        if self._awake_at is not None and awake_at - self._awake_at > PAUSE_S:
            self._owned.on_pause(now)
            for asker in self._askers_by_name.values():
                asker.on_pause()
        self._awake_at = awake_at

    def _on_lost(self, now: float, asker: PermitAsker, reason: str) -> None:
        if not asker.on_lost(now):
            return
        self._counters.permit_owners_lost += 1
        answered_at = asker.answered_at
        _log.info(
            "owner of an account lost",
            account=asker.account.name,
            owner=self._owned.owner(now, asker.account.name),
            reason=reason,
            limit_per_s=asker.account.rate_per_s,
            share_per_s=round(self._owned.own_share_per_s(now, asker.account), 4),
            answered_s_ago=round(now - answered_at, 3) if answered_at is not None else None,
        )

    def _on_regained(self, now: float, asker: PermitAsker) -> None:
        lost_at = asker.lost_at
        if lost_at is None or not asker.on_regained():
            return
        _log.info(
            "owner of an account regained",
            account=asker.account.name,
            owner=self._owned.owner(now, asker.account.name),
            limit_per_s=asker.account.rate_per_s,
            lost_s=round(now - lost_at, 3),
            admitted=asker.admitted_alone,
            refused=asker.refused_alone,
        )
