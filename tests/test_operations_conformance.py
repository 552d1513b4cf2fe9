"""Random walks through the specification of operations, replayed against the real classes."""

from __future__ import annotations

from random import Random

import testtools

from specs import operations as spec
from specs.operations import NAMES, State, Variant
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.operation_messages import (
    Inquire,
    Inquiry,
    InquiryReply,
    Operation,
    Reject,
)
from sycamorebay.coordination.operations import Operations
from sycamorebay.coordination.ranges import EntryRange
from sycamorebay.settings import OperationSettings
from sycamorebay.state.operations import Phase, parse_key
from tests.support import member

START = 1_000_000.0
TICK_S = 10.0
KEY_TIME = START + spec.KEY_TIME * TICK_S
WALKS = 600
MAX_STEPS = 60
MEMBERS = [member(f"entry-{name}") for name in NAMES]
REPLY_KINDS_BY_PHASE = {Phase.TOMBSTONE: spec.YIELDS, Phase.ASKING: spec.BUSY}
RECORDS_BY_PHASE = {
    Phase.TOMBSTONE: spec.TOMBSTONE,
    Phase.ASKING: spec.ASKING,
    Phase.RUNNING: spec.GRANTED,
    Phase.RAN: spec.RAN,
    Phase.IN_DOUBT: spec.RAN,
    Phase.FORGOTTEN: spec.FORGOTTEN,
}


def key_text(time: float) -> str:
    return f"{int(time * 1000):012x}7000{8:x}{0:015x}"


KEY = parse_key(key_text(KEY_TIME))
assert KEY is not None


class Replay:
    """Replays a walk through the specification on one `Operations` per entry.

    Each method `_STEP` replays the steps whose label begins with that word.
    """

    def __init__(self, operations_class: type[Operations], rng: Random) -> None:
        self._operations_class = operations_class
        self._rng = rng
        self._by_index: dict[int, Operations] = {}
        self._attempts: dict[tuple[int, int], int] = {}
        self._replies: dict[tuple[int, int, int, str], InquiryReply] = {}
        self._evicted = 0
        for index in (0, 1):
            self._start(index)
            self._by_index[index].range.on_confirmed(START - 100, START + 1000)

    def _start(self, index: int) -> None:
        settings = OperationSettings(clock_skew_s=2.5, max_records=1)
        self._by_index[index] = self._operations_class(
            settings, MEMBERS[index], Invariants(strict=True)
        )

    def replay_step(self, label: str, before: State, after: State) -> bool:
        """Replay a step and return whether the classes reached the specified state."""
        now = START + before.clock * TICK_S
        step, *arguments = label.replace("give up", "give_up").split()
        if step != "issue":
            getattr(self, f"_{step}")(now, before, after, *arguments)
        return self._agrees(after)

    def _agrees(self, state: State) -> bool:
        now = START + state.clock * TICK_S
        for index, entry in enumerate(state.entries):
            if entry.life not in (spec.LISTED, spec.UP):
                continue
            operations = self._by_index[index]
            record = operations.records.get(KEY)
            actual = spec.NO_RECORD if record is None else RECORDS_BY_PHASE[record.phase]
            if actual != {spec.WRITTEN: spec.GRANTED}.get(entry.record, entry.record):
                return False
            if state.clock and entry.in_range != operations.range.holds(now, KEY_TIME, 900.0):
                return False
        return True

    def _tick(self, *_: object) -> None:
        pass

    def _write(self, *_: object) -> None:
        pass

    def _arrive(self, now: float, before: State, after: State, send: str, name: str) -> None:
        index = NAMES.index(name)
        operations = self._by_index[index]
        listed = [i for i, entry in enumerate(before.entries) if entry.life != spec.ABSENT]
        operations.on_ranges(now, KEY, -1, self._ranges(listed))
        marked, status = after.sends[int(send)]
        decision = operations.on_operation(now, Operation(KEY.text, b"p", marked))
        if isinstance(decision, Inquire):
            self._attempts[index, after.entries[index].attempt] = decision.attempt
        tag = decision.refusal.tag if isinstance(decision, Reject) else ""
        assert (tag == "not-run") == (status == spec.NOT_RUN), (tag, status)

    def _read(self, now: float, before: State, _after: State, name: str, members: str = "") -> None:
        index = NAMES.index(name)
        ranges = self._ranges([index, *(NAMES.index(member_name) for member_name in members)])
        attempt = self._attempts[index, before.entries[index].attempt]
        self._by_index[index].on_ranges(now, KEY, attempt, ranges)

    def _ask(
        self, now: float, _before: State, after: State, asker: str, attempt: str, other: str
    ) -> None:
        here, there = NAMES.index(asker), NAMES.index(other)
        real_attempt = self._attempts[here, int(attempt)]
        reply = self._by_index[there].on_inquiry(
            now, Inquiry(KEY, real_attempt, b"p", MEMBERS[here])
        )
        kind = REPLY_KINDS_BY_PHASE.get(reply.phase, spec.HAS_RECORD)
        assert (there, here, int(attempt), kind) in after.replies, kind
        self._replies[there, here, int(attempt), kind] = reply

    def _reply(
        self,
        now: float,
        _before: State,
        _after: State,
        other: str,
        asker: str,
        attempt: str,
        kind: str,
    ) -> None:
        here, there = NAMES.index(asker), NAMES.index(other)
        reply = self._replies[there, here, int(attempt), kind]
        real_attempt = self._attempts[here, int(attempt)]
        self._by_index[here].on_reply(now, KEY, real_attempt, MEMBERS[there], reply)

    def _give_up(self, now: float, before: State, _after: State, name: str) -> None:
        index = NAMES.index(name)
        attempt = self._attempts[index, before.entries[index].attempt]
        if before.entries[index].members is None:
            self._by_index[index].on_ranges_unavailable(now, KEY, attempt)
        for peer in MEMBERS:
            self._by_index[index].on_no_reply(now, KEY, attempt, peer)

    def _register(self, _now: float, _before: State, _after: State, name: str) -> None:
        self._start(NAMES.index(name))

    def _confirm(self, now: float, _before: State, _after: State, name: str) -> None:
        self._by_index[NAMES.index(name)].range.on_confirmed(now, START + 1000)

    def _crash(self, _now: float, _before: State, _after: State, name: str) -> None:
        del self._by_index[NAMES.index(name)]

    def _evict(self, now: float, _before: State, _after: State, name: str) -> None:
        self._evicted += 1
        other = parse_key(key_text(KEY_TIME + self._evicted))
        assert other is not None
        inquiry = Inquiry(other, 1, b"", MEMBERS[0])
        self._by_index[NAMES.index(name)].on_inquiry(now, inquiry)

    def _shed(self, now: float, _before: State, _after: State, name: str) -> None:
        self._by_index[NAMES.index(name)].on_not_run(now, KEY)

    def _end(self, now: float, _before: State, _after: State, name: str) -> None:
        operations = self._by_index[NAMES.index(name)]
        if self._rng.random() < 0.5:
            operations.on_answer(now, KEY, None)
        else:
            operations.on_unknown_outcome(now, KEY)

    @staticmethod
    def _ranges(members: list[int]) -> list[EntryRange]:
        return [EntryRange(MEMBERS[i], START - 100, START + 1000) for i in members]


def first_disagreement(operations_class: type[Operations], seed: int) -> list[str] | None:
    """Replay a random walk; return its labels up to the first disagreement, or None."""
    rng = Random(seed)
    variant = Variant(sends=4, crashes=1, evictions=1, attempts=9)
    state = spec.INITIAL
    replay = Replay(operations_class, rng)
    labels: list[str] = []
    for _ in range(MAX_STEPS):
        options = list(spec.steps(variant, state))
        if not options:
            break
        label, after = rng.choice(options)
        labels.append(label)
        try:
            agrees = replay.replay_step(label, state, after)
        except AssertionError as error:
            return [*labels, str(error)]
        if not agrees:
            return labels
        state = after
    return None


class NoTombstones(Operations):
    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        if self.records.get(inquiry.key) is None:
            return InquiryReply(Phase.TOMBSTONE)
        return super().on_inquiry(now, inquiry)


class NeverYields(Operations):
    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        record = self.records.get(inquiry.key)
        if record is not None and record.phase == Phase.ASKING:
            return InquiryReply(Phase.TOMBSTONE)
        return super().on_inquiry(now, inquiry)


class ForgetsDoubt(Operations):
    def on_unknown_outcome(self, now: float, key: object) -> None:
        self.on_not_run(now, KEY)


class IgnoresRange(Operations):
    def on_operation(self, now: float, operation: Operation) -> object:  # type: ignore[override]
        self.range.first = 0.0
        return super().on_operation(now, operation)


class NoFloor(Operations):
    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        reply = super().on_inquiry(now, inquiry)
        self.records.floor = 0.0
        return reply


class ConformanceTest(testtools.TestCase):
    def test_the_classes_agree_with_the_specification(self):
        for seed in range(WALKS):
            self.assertIsNone(first_disagreement(Operations, seed), seed)

    def test_the_walks_detect_broken_classes(self):
        for broken in (NoTombstones, NeverYields, ForgetsDoubt, IgnoresRange, NoFloor):
            failing_seeds = [
                seed for seed in range(WALKS) if first_disagreement(broken, seed) is not None
            ]
            self.assertTrue(failing_seeds, broken.__name__)

    def test_the_walks_cover_every_kind_of_step(self):
        kinds = set()
        variant = Variant(sends=4, evictions=1, attempts=9)
        for seed in range(WALKS):
            rng, state = Random(seed), spec.INITIAL
            for _ in range(MAX_STEPS):
                options = list(spec.steps(variant, state))
                if not options:
                    break
                label, state = rng.choice(options)
                kinds.add(label.split()[0])
                if state.runs:
                    kinds.add("ran")
        expected = (
            "tick issue arrive read ask reply give register confirm crash evict shed end write"
        )
        self.assertEqual(set(), {*expected.split(), "ran"} - kinds)
