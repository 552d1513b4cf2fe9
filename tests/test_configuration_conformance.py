"""Random walks and races of the specification of revisions, against the real classes."""

from __future__ import annotations

import asyncio
import json
from random import Random

import attrs
import testtools

from specs import configuration as spec
from sycamorebay import log
from sycamorebay.coordination.configuration import Configuration, Revision
from sycamorebay.coordination.freshness import Freshness
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.membership import Member
from sycamorebay.errors import ConflictError, PlatformError, UnknownOutcomeError
from sycamorebay.protocol.keys import members_prefix
from sycamorebay.settings import FreshnessSettings, LogSettings
from sycamorebay.transport.configuration import admin
from sycamorebay.transport.configuration.admin import Change
from sycamorebay.transport.configuration.registration import Registration
from tests.fake_store import FakeStore
from tests.support import asynchronous, document_text

log.configure(LogSettings(level="critical"))

SEED = 9
WALKS = 150
STEPS = 60
TICK_S = 0.01
TEXT = document_text()
NEVER_SETTLING = FreshnessSettings(settle_s=1e9)


class RealEntry:
    """The real classes of one entry, with a method for each kind of step in the specification."""

    def __init__(self, now: float) -> None:
        self.configuration = Configuration(Invariants(strict=True))
        self.freshness = Freshness(now, NEVER_SETTLING)
        self.started_at = now
        self.asked_at = now

    def apply_revision(self, now: float, number: int) -> None:
        self.freshness.on_known_revision(now, number)
        if self.configuration.on_revision(now, Revision(number, TEXT)) is not None:
            self.freshness.on_in_force(now, number)

    def read(self, now: float, number: int) -> None:
        self.apply_revision(now, number)
        self.freshness.on_store(now, now)

    def ask(self, now: float) -> None:
        self.freshness.on_heartbeat_round(now, ["peer"])
        self.asked_at = now

    def on_peer_answer(self, now: float, number: int) -> None:
        self.apply_revision(now, number)
        self.freshness.on_peer(now, "peer", self.asked_at)

    def serves(self, now: float) -> bool:
        return self.freshness.refusal_reason(now) == ""


class EntriesConformanceTest(testtools.TestCase):
    def test_the_classes_agree_with_the_specification(self):
        rng = Random(SEED)
        serve_steps = 0
        for _ in range(WALKS):
            serve_steps += self.walk(rng)
        self.assertGreater(serve_steps, WALKS // 4)

    def walk(self, rng: Random) -> int:
        variant = spec.EntryVariant(revisions=4, restarts=3)
        state = spec.EntryState(1, (spec.Entry(), spec.Entry()))
        now = 0.0
        real = [RealEntry(now), RealEntry(now)]
        for entry in real:
            entry.read(now, 1)
            entry.ask(now)
            entry.on_peer_answer(now, 1)
        serve_steps = 0
        for _ in range(STEPS):
            now += TICK_S
            label, state = rng.choice(self.steps(rng, variant, state))
            serve_steps += self.replay_step(now, label.split(), state, real)
            for entry, modelled in zip(real, state.entries, strict=True):
                if modelled.life != spec.DOWN:
                    self.assertEqual(modelled.revision, entry.configuration.number, label)
                    entry.freshness.on_tick(now)
                    if modelled.life == spec.NEW and entry.serves(now):
                        self.assertGreaterEqual(entry.configuration.number, modelled.min_revision)
        return serve_steps

    @staticmethod
    def steps(rng: Random, variant: spec.EntryVariant, state: spec.EntryState) -> list:
        """Return the enabled steps; if an entry may serve, in half of all cases only those."""
        steps = list(spec.entry_steps(variant, state))
        serving = [step for step in steps if step[0].startswith("serve")]
        return serving if serving and rng.random() < 0.5 else steps

    def replay_step(
        self, now: float, label_words: list[str], state: spec.EntryState, real: list
    ) -> int:
        kind = label_words[0]
        if kind == "accept":
            return 0
        index = int(label_words[1])
        entry, other = real[index], state.entries[1 - index]
        if kind in ("start", "stop"):
            real[index] = RealEntry(now)
        elif kind == "read":
            entry.read(now, int(label_words[2]))
        elif kind == "ask":
            entry.ask(now)
        elif kind == "hear":
            entry.on_peer_answer(now, other.revision)
        elif kind == "serve" and other.life == spec.SERVING:
            self.assertTrue(entry.serves(now), state)
            return 1
        return 0


class ChangesConformanceTest(testtools.TestCase):
    @asynchronous
    async def test_racing_operators_get_true_outcomes_from_a_store_with_stale_reads(self):
        for seed in range(6):
            await self.race(seed)

    async def race(self, seed: int) -> None:
        rng = Random(seed)
        store = FakeStore(stale_share=0.1, rng=rng)
        outcomes: dict[str, str] = {}

        async def operator(number: int) -> None:
            for turn in range(4):
                text = document_text(note=f"{number}-{turn}")
                change = Change(text, "apply", "ann", "", nonce=f"{number}-{turn}")
                store.swaps_to_lose = int(rng.random() < 0.3)
                try:
                    await admin.apply(store, "p", change)
                    outcomes[change.nonce] = "accepted"
                except ConflictError:
                    outcomes[change.nonce] = "conflict"
                except (UnknownOutcomeError, PlatformError):
                    outcomes[change.nonce] = "unsettled"

        await asyncio.gather(*(operator(number) for number in range(8)))
        store.stale_share = 0.0
        trail = [entry.nonce for entry in (await admin.read_history(store, "p")).trail]
        self.assertEqual(len(trail), len(set(trail)))
        for nonce, outcome in outcomes.items():
            if outcome == "accepted":
                self.assertIn(nonce, trail)
            if outcome == "conflict":
                self.assertNotIn(nonce, trail)
        self.assertIn("accepted", outcomes.values())
        self.assertIn("conflict", outcomes.values())


class RegistrationConformanceTest(testtools.TestCase):
    @asynchronous
    async def test_no_order_of_reads_and_writes_replaces_a_newer_incarnation_by_an_older(self):
        for seed in range(200):
            await self.race(seed)

    async def race(self, seed: int) -> None:
        rng = Random(seed)
        store = YieldingStore(rng=rng)
        holders: list[int] = []
        store.on_write = lambda value: holders.append(json.loads(value)["incarnation"])

        async def register(incarnation: int) -> None:
            own = Member("entry-0", incarnation, "127.0.0.1:7000", "a")
            registration = Registration(SETTINGS, store, own, None)
            for _ in range(2):
                try:
                    await registration._register(await registration._registered_version(), 1)
                except PlatformError:
                    continue

        await asyncio.gather(register(1), register(2))
        newest = holders.index(2) if 2 in holders else len(holders)
        self.assertEqual([2] * (len(holders) - newest), holders[newest:])
        self.assertIn(members_prefix("production") + "entry-0", store.values)


@attrs.define
class YieldingStore(FakeStore):
    """Fake store that yields to other tasks before each answer, a random number of times."""

    on_write: object = None

    async def read(self, key: str):
        item = self.values.get(key)
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)
        return item

    async def swap(self, key, value, version, extra_writes=(), lease=0):
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)
        written = await super().swap(key, value, version, extra_writes, lease)
        if written:
            self.on_write(value)
        return written


@attrs.frozen
class FakePlatformSettings:
    lease_s: int = 10


@attrs.frozen
class FakeSettings:
    environment: str = "production"
    platform: FakePlatformSettings = attrs.field(factory=FakePlatformSettings)


SETTINGS = FakeSettings()
