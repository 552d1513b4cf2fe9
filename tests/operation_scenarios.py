"""What goes wrong around keyed operations, each on a running fleet; returns runs by key."""

from __future__ import annotations

import asyncio
import random
import signal
import time

import aiohttp
import attrs

from bench.fleet import Fleet, Shape
from bench.load import new_key
from tests.support import small_shape

SEED = 11
ENTRIES = 3
LOOPBACK_TIMEOUT_S = 5.0


@attrs.frozen
class Told:
    status: int
    outcome: str
    body: bytes
    seconds: float


class Caller:
    """A caller that keeps what it was told."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = random.Random(SEED)

    async def send(
        self,
        entry: int,
        key: str,
        *,
        first: bool,
        work_ms: float = 5,
        timeout_s: float = LOOPBACK_TIMEOUT_S,
        body: bytes = b"bid",
    ) -> Told:
        """Send a keyed operation."""
        headers = {"host": "desk.test", "idempotency-key": key, "x-echo": key}
        headers["sycamorebay-attempt"] = "1" if first else "2"
        url = self.fleet.url(entry) + f"/bids?work_ms={work_ms}"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        started = time.monotonic()
        try:
            async with self.fleet.http.post(
                url, headers=headers, data=body, timeout=timeout
            ) as response:
                answer = await response.read()
        except (TimeoutError, aiohttp.ClientError):
            return Told(0, "lost", b"", time.monotonic() - started)
        outcome = response.headers.get("sycamorebay-outcome", "served")
        return Told(response.status, outcome, answer, time.monotonic() - started)

    def key(self) -> str:
        return new_key(self.rng)

    def runs(self, key: str) -> int:
        return self.fleet.runs_by_key()[key]


def shape(variant: str = "") -> Shape:
    made = small_shape(ENTRIES, freshness={"pause_s": 30.0})
    command = ("-m", "tests.broken_entry", variant) if variant else made.entry_command
    return attrs.evolve(made, entry_command=command)


async def killed_while_running(fleet: Fleet) -> list[int]:
    """An entry ends with an operation in flight; a restarted one has an empty memory."""
    caller, key = Caller(fleet), new_key(random.Random(1))
    first = asyncio.create_task(caller.send(0, key, first=True, work_ms=400))
    await asyncio.sleep(0.2)
    fleet.kill("entry-0")
    await first
    told = [await caller.send(1, key, first=False, work_ms=400)]
    fleet.start_entry(0)
    await fleet.until_ready([0])
    told += [await caller.send(entry, key, first=False, work_ms=400) for entry in (0, 2)]
    await asyncio.sleep(0.3)
    later = await caller.send(1, caller.key(), first=True)
    assert later.outcome == "served", later
    assert {one.outcome for one in told} == {"unknown"}, told
    assert max(one.seconds for one in told) < 1.5, told
    return [caller.runs(key)]


async def paused_with_a_send_in_its_socket(fleet: Fleet) -> list[int]:
    """An entry is paused before it reads the first send, and wakes after a second send."""
    caller, key = Caller(fleet), new_key(random.Random(2))
    await caller.send(0, caller.key(), first=True)
    fleet.signal("entry-0", signal.SIGSTOP)
    first = asyncio.create_task(caller.send(0, key, first=True, timeout_s=20))
    await asyncio.sleep(1.5)
    second = await caller.send(1, key, first=False)
    fleet.signal("entry-0", signal.SIGCONT)
    await first
    third = await caller.send(2, key, first=False)
    assert (second.outcome, third.outcome) == ("unknown", "served"), (second, third)
    return [caller.runs(key)]


async def late_in_the_balancer(fleet: Fleet) -> list[int]:
    """A second send overtakes the first one."""
    caller, runs = Caller(fleet), []
    for _ in range(5):
        key = caller.key()
        second = await caller.send(1, key, first=False)
        assert second.outcome == "served", second
        first = await caller.send(0, key, first=True)
        assert first.body == second.body, first
        runs.append(caller.runs(key))
    return runs


async def two_at_once(fleet: Fleet) -> list[int]:
    """Second sends reach several entries at the same moment."""
    caller, keys = Caller(fleet), []
    for _ in range(40):
        key = caller.key()
        sends = [caller.send(entry, key, first=False, work_ms=30) for entry in (0, 1, 2)]
        told = await asyncio.gather(*sends)
        assert {one.outcome for one in told} <= {"served", "unknown"}, told
        keys.append(key)
    return [caller.runs(key) for key in keys]


async def cut_mid_answer(fleet: Fleet) -> list[int]:
    """The answer is lost between backend server and entry."""
    caller, key = Caller(fleet), new_key(random.Random(3))
    await fleet.control_backend("all", cut=True)
    first = await caller.send(0, key, first=True)
    assert first.outcome == "unknown", first
    await fleet.control_backend("all", cut=False)
    for entry in (0, 1):
        await caller.send(entry, key, first=False)
    return [caller.runs(key)]


async def shed_and_sent_again(fleet: Fleet) -> list[int]:
    """What every backend server shed is told not run, and may be sent again as first."""
    caller, key = Caller(fleet), new_key(random.Random(4))
    await fleet.control_backend("all", shed=True)
    told = await caller.send(0, key, first=True)
    assert told.outcome == "not-run", told
    assert caller.runs(key) == 0
    await fleet.control_backend("all", shed=False)
    await asyncio.sleep(1.0)
    told = await caller.send(1, key, first=True)
    assert told.outcome == "served", told
    return [caller.runs(key)]


async def caller_leaves(fleet: Fleet) -> list[int]:
    """An operation goes on without its caller, whose next send gets the answer elsewhere."""
    caller, key = Caller(fleet), new_key(random.Random(5))
    gone = await caller.send(0, key, first=True, work_ms=300, timeout_s=0.1)
    assert gone.outcome == "lost", gone
    running = await caller.send(1, key, first=False, work_ms=300)
    assert running.outcome == "unknown", running
    await asyncio.sleep(0.6)
    told = [await caller.send(entry, key, first=False, work_ms=300) for entry in (0, 1, 2)]
    assert {(one.outcome, one.body) for one in told} == {("served", told[0].body)}, told
    other = await caller.send(1, key, first=False, body=b"another bid")
    assert other.status == 422, other
    return [caller.runs(key)]


async def platform_outage(fleet: Fleet) -> list[int]:
    """First sends go on, known operations are settled, the rest is refused at once."""
    caller = Caller(fleet)
    await fleet.control_platform(down=True)
    known, unseen = caller.key(), caller.key()
    first = await caller.send(0, known, first=True)
    again = await caller.send(1, known, first=False)
    refused = await caller.send(2, unseen, first=False)
    assert first.outcome == "served", first
    assert again.body == first.body, again
    assert refused.outcome == "unknown", refused
    assert refused.seconds < 1.5, refused
    await fleet.control_platform(down=False)
    return [caller.runs(known), caller.runs(unseen) + 1]


async def lost_and_stale_answers_of_the_platform(fleet: Fleet) -> list[int]:
    """A write whose answer is lost, and reads from the past."""
    caller, keys = Caller(fleet), [new_key(random.Random(6)) for _ in range(1)]
    await fleet.control_platform(lose_answers=1)
    told = await caller.send(0, keys[0], first=False)
    assert told.outcome in ("unknown", "served"), told
    await fleet.control_platform(stale_s=30.0)
    stale = caller.key()
    await caller.send(1, caller.key(), first=False)
    told = await caller.send(1, stale, first=False)
    assert told.outcome == "unknown", told
    await fleet.control_platform(stale_s=0.0)
    return [max(1, caller.runs(keys[0])), caller.runs(stale) + 1]
