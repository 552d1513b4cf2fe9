"""Changes by operators, with lost answers and races, against a store in memory."""

from __future__ import annotations

import asyncio
import random

import testtools

from sycamorebay import log
from sycamorebay.errors import ConflictError, DocumentError, NotTriedError, UnknownOutcomeError
from sycamorebay.protocol.reports import EntryReport, encode_report, report_key
from sycamorebay.protocol.revisions import MAX_TRAIL_ENTRIES
from sycamorebay.settings import LogSettings
from sycamorebay.transport.configuration import admin
from sycamorebay.transport.configuration.admin import Change
from tests.fake_store import FakeStore
from tests.support import asynchronous, document_text

log.configure(LogSettings(level="critical"))

OPERATORS = 8
CHANGES = 200
SEED = 6


def change(note: str = "", **rest) -> Change:
    return Change(document_text(note=note), "apply", "ann", "why", **rest)


class ChangesTest(testtools.TestCase):
    @asynchronous
    async def test_a_lost_answer_is_settled_by_the_nonce(self):
        store = FakeStore(swaps_to_lose=1)
        accepted = await admin.apply(store, "production", change("a"))
        self.assertEqual((1, True), (accepted.entry.revision, accepted.changed))
        self.assertEqual(1, store.swaps)

    @asynchronous
    async def test_a_lost_answer_is_settled_when_the_key_has_moved_on(self):
        store = FakeStore(swaps_to_lose=1)

        async def apply_another() -> None:
            store.swaps_to_lose, lost = 0, store.swaps_to_lose
            await admin.apply(store, "production", change("another"))
            store.swaps_to_lose = lost

        store.swap_hooks.append(apply_another)
        accepted = await admin.apply(store, "production", change("a"))
        history = await admin.read_history(store, "production")
        self.assertEqual([1, 2], [entry.revision for entry in history.trail])
        self.assertEqual(accepted.entry, history.trail[0])

    @asynchronous
    async def test_a_swap_that_never_reached_the_store_is_sent_again(self):
        store = FakeStore(swaps_to_fail=3)
        accepted = await admin.apply(store, "production", change("a"))
        self.assertEqual((1, 1), (accepted.entry.revision, store.swaps))

    @asynchronous
    async def test_an_unknown_outcome_names_the_nonce_to_retry_with(self):
        store = FakeStore(swaps_to_fail=admin.MAX_SWAP_ATTEMPTS)
        error = await failure(admin.apply(store, "production", change(nonce="n-1")))
        self.assertIsInstance(error, UnknownOutcomeError)
        self.assertIn("--nonce n-1", str(error))
        accepted = await admin.apply(store, "production", change(nonce="n-1"))
        self.assertTrue(accepted.changed)

    @asynchronous
    async def test_a_retried_command_is_not_applied_twice(self):
        store = FakeStore()
        first = change("a", nonce="n-1")
        await admin.apply(store, "production", first)
        await admin.apply(store, "production", change("b"))
        again = await admin.apply(store, "production", first)
        self.assertEqual((1, False, 2), (again.entry.revision, again.changed, store.swaps))

    @asynchronous
    async def test_an_unexpected_revision_is_a_conflict(self):
        store = FakeStore()
        await admin.apply(store, "production", change("a"))
        error = await failure(admin.apply(store, "production", change("b", expected=0)))
        self.assertIsInstance(error, ConflictError)
        self.assertIn("found revision 1 by ann", str(error))

    @asynchronous
    async def test_a_document_with_faults_is_not_written(self):
        store = FakeStore()
        error = await failure(admin.apply(store, "p", Change(b"{}", "apply", "ann", "")))
        self.assertIsInstance(error, DocumentError)
        self.assertEqual(0, store.swaps)

    @asynchronous
    async def test_racing_operators_make_one_history(self):
        store = FakeStore()
        rng = random.Random(SEED)
        accepted: list[str] = []
        conflicts = 0

        async def operator(number: int) -> None:
            nonlocal conflicts
            for change_number in range(CHANGES // OPERATORS):
                wanted = change(f"{number}-{change_number}")
                while True:
                    store.swaps_to_lose = int(rng.random() < 0.2)
                    store.swaps_to_fail = int(rng.random() < 0.2)
                    try:
                        done = await admin.apply(store, "production", wanted)
                    except ConflictError:
                        conflicts += 1
                        continue
                    accepted.append(done.entry.nonce)
                    break

        await asyncio.gather(*(operator(number) for number in range(OPERATORS)))
        trail = (await admin.read_history(store, "production")).trail
        self.assertEqual(list(range(1, CHANGES + 1)), [entry.revision for entry in trail])
        self.assertEqual(list(range(CHANGES)), [entry.from_revision for entry in trail])
        self.assertEqual(sorted(accepted), sorted(entry.nonce for entry in trail))
        self.assertEqual(CHANGES, store.swaps)
        self.assertGreater(conflicts, 0)

    @asynchronous
    async def test_trail_and_texts_stay_bounded(self):
        store = FakeStore()
        for number in range(MAX_TRAIL_ENTRIES + 2):
            await admin.apply(store, "production", change(str(number)))
        history = await admin.read_history(store, "production")
        self.assertEqual(MAX_TRAIL_ENTRIES, len(history.trail))
        self.assertEqual(3, history.trail[0].revision)
        texts = [key for key in store.values if "/texts/" in key]
        self.assertEqual(admin.MAX_STORED_DOCUMENTS, len(texts))


class PromotionTest(testtools.TestCase):
    @asynchronous
    async def test_promotes_the_same_bytes_once_a_trial_member_has_them(self):
        store = FakeStore()
        tried = await admin.apply(store, "trial", change("a"))
        digest = tried.entry.digest
        error = await failure(admin.text_from_trial(store, "trial", digest))
        self.assertIsInstance(error, NotTriedError)
        report = EntryReport("entry-0", 1, tried.entry.revision, digest)
        await store.put(report_key("trial", "entry-0"), encode_report(report), 0)
        text = await admin.text_from_trial(store, "trial", digest[:12])
        self.assertEqual(change("a").text, text)

    @asynchronous
    async def test_refuses_a_digest_that_the_trial_environment_never_had(self):
        store = FakeStore()
        await admin.apply(store, "trial", change("a"))
        error = await failure(admin.text_from_trial(store, "trial", "0" * 64))
        self.assertIsInstance(error, NotTriedError)

    @asynchronous
    async def test_a_rollback_is_a_new_revision_with_older_bytes(self):
        store = FakeStore()
        await admin.apply(store, "production", change("a"))
        await admin.apply(store, "production", change("b"))
        await admin.rollback(store, "production", 1, Change(b"", "rollback", "ann", ""))
        history = await admin.read_history(store, "production")
        self.assertEqual(3, history.number)
        self.assertEqual(change("a").text, history.record.revision.text)
        self.assertEqual([1, 2, 3], [entry.revision for entry in history.trail])


async def failure(awaitable) -> Exception:
    try:
        await awaitable
    except Exception as error:
        return error
    raise AssertionError("no error")
