"""Random walks through the specification, replayed against the real classes."""

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
PATIENT = FreshnessSettings(settle_s=1e9)


class RealEntry:
    """The classes of one entry, driven by the labels of the specification."""

    def __init__(self, now: float) -> None:
        self.configuration = Configuration(Invariants(strict=True))
        self.freshness = Freshness(now, PATIENT)
        self.started_at = now
        self.asked_at = now

    def take(self, now: float, number: int) -> None:
        self.freshness.on_known_revision(now, number)
        if self.configuration.on_revision(now, Revision(number, TEXT)) is not None:
            self.freshness.on_in_force(now, number)

    def read(self, now: float, number: int) -> None:
        self.take(now, number)
        self.freshness.on_store(now, now)

    def ask(self, now: float) -> None:
        self.freshness.on_heartbeat_round(now, ["peer"])
        self.asked_at = now

    def hear(self, now: float, number: int) -> None:
        self.take(now, number)
        self.freshness.on_peer(now, "peer", self.asked_at)

    def serves(self, now: float) -> bool:
        return self.freshness.refusal_reason(now) == ""


class EntriesConformanceTest(testtools.TestCase):
    def test_the_classes_hold_what_the_specification_says(self):
        rng = Random(SEED)
        served = 0
        for _ in range(WALKS):
            served += self.walk(rng)
        self.assertGreater(served, WALKS // 4)

    def walk(self, rng: Random) -> int:
        variant = spec.EntryVariant(revisions=4, restarts=3)
        state = spec.EntryState(1, (spec.Entry(), spec.Entry()))
        now = 0.0
        real = [RealEntry(now), RealEntry(now)]
        for entry in real:
            entry.read(now, 1)
            entry.ask(now)
            entry.hear(now, 1)
        served = 0
        for _ in range(STEPS):
            now += TICK_S
            label, state = rng.choice(self.steps(rng, variant, state))
            served += self.follow(now, label.split(), state, real)
            for entry, modelled in zip(real, state.entries, strict=True):
                if modelled.life != spec.DOWN:
                    self.assertEqual(modelled.number, entry.configuration.number, label)
                    entry.freshness.on_tick(now)
                    if modelled.life == spec.NEW and entry.serves(now):
                        self.assertGreaterEqual(entry.configuration.number, modelled.floor)
        return served

    @staticmethod
    def steps(rng: Random, variant: spec.EntryVariant, state: spec.EntryState) -> list:
        """Return the steps to choose from; where an entry may serve, often only that."""
        steps = list(spec.entry_steps(variant, state))
        serving = [step for step in steps if step[0].startswith("serve")]
        return serving if serving and rng.random() < 0.5 else steps

    def follow(self, now: float, words: list[str], state: spec.EntryState, real: list) -> int:
        kind = words[0]
        if kind == "accept":
            return 0
        index = int(words[1])
        entry, other = real[index], state.entries[1 - index]
        if kind in ("start", "stop"):
            real[index] = RealEntry(now)
        elif kind == "read":
            entry.read(now, int(words[2]))
        elif kind == "ask":
            entry.ask(now)
        elif kind == "hear":
            entry.hear(now, other.number)
        elif kind == "serve" and other.life == spec.SERVING:
            self.assertTrue(entry.serves(now), state)
            return 1
        return 0


class ChangesConformanceTest(testtools.TestCase):
    @asynchronous
    async def test_racing_operators_are_told_what_is_so_by_a_store_that_shows_the_past(self):
        for seed in range(6):
            await self.race(seed)

    async def race(self, seed: int) -> None:
        rng = Random(seed)
        store = FakeStore(stale_share=0.1, rng=rng)
        told: dict[str, str] = {}

        async def operator(number: int) -> None:
            for turn in range(4):
                text = document_text(note=f"{number}-{turn}")
                change = Change(text, "apply", "ann", "", nonce=f"{number}-{turn}")
                store.lost = int(rng.random() < 0.3)
                try:
                    await admin.apply(store, "p", change)
                    told[change.nonce] = "accepted"
                except ConflictError:
                    told[change.nonce] = "conflict"
                except (UnknownOutcomeError, PlatformError):
                    told[change.nonce] = "unsettled"

        await asyncio.gather(*(operator(number) for number in range(8)))
        store.stale_share = 0.0
        trail = [entry.nonce for entry in (await admin.read_history(store, "p")).trail]
        self.assertEqual(len(trail), len(set(trail)))
        for nonce, outcome in told.items():
            if outcome == "accepted":
                self.assertIn(nonce, trail)
            if outcome == "conflict":
                self.assertNotIn(nonce, trail)
        self.assertIn("accepted", told.values())
        self.assertIn("conflict", told.values())


class RegistrationConformanceTest(testtools.TestCase):
    @asynchronous
    async def test_no_order_of_reads_and_writes_puts_an_older_incarnation_over_a_newer(self):
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
    """Lets other tasks run between a read and its answer, for a random while."""

    on_write: object = None

    async def read(self, key: str):
        found = self.values.get(key)
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)
        return found

    async def swap(self, key, value, version, extra_writes=(), lease=0):
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)
        written = await super().swap(key, value, version, extra_writes, lease)
        if written:
            self.on_write(value)
        return written


@attrs.frozen
class _Platform:
    lease_s: int = 10


@attrs.frozen
class _Settings:
    environment: str = "production"
    platform: _Platform = attrs.field(factory=_Platform)


SETTINGS = _Settings()
