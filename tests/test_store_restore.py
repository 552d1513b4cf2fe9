"""Tests of what a store that was restored from an older copy changes in the cache."""

from __future__ import annotations

import tracemalloc

import attrs
import testtools
from hypothesis import given
from hypothesis import strategies as st

from sycamorebay.coordination.eras import BelievedEra, DoubtfulEraError
from sycamorebay.coordination.forgotten import WriterOrder
from sycamorebay.coordination.quarantine import BLOCK_S, Quarantine
from sycamorebay.coordination.store_cache import REWRITE_S, StoreCache
from sycamorebay.platform.documents import PlatformDocuments
from sycamorebay.protocol.store_items import CacheCopy, decode_copy, encode_copy
from sycamorebay.state.store_versions import StoreVersion, VersionedItem, VersionedListing
from tests.test_store_cache import at, item, listing


class NumberedDocuments:
    """Documents are their number; the key ``config`` is never deleted."""

    def writer_order(self, key: str, value: bytes) -> WriterOrder | None:
        return int(value), 0

    def outlives_restore(self, key: str) -> bool:
        return key == "config"


def create(*items: VersionedItem, revision: int) -> StoreCache:
    """Return a cache that knows items of the first era up to a revision."""
    cache = StoreCache(NumberedDocuments())
    cache.on_changes(at(0), items, at(revision))
    return cache


def values(cache: StoreCache) -> dict[str, bytes | None]:
    return {found.key: found.value for found in cache.items()}


def copied(cache: StoreCache) -> VersionedListing:
    """Return a whole copy of a cache as a peer receives it."""
    deleted = tuple(found for found in cache.kept_items() if found.value is None)
    copy = decode_copy(encode_copy(CacheCopy(cache.items() + deleted, cache.version)))
    return VersionedListing(copy.items, copy.version)


class RestoredCacheTest(testtools.TestCase):
    def test_a_listing_of_a_later_era_is_no_old_listing(self):
        cache = create(item("a", b"1", 9), revision=9)
        cache.on_listing(listing((item("b", b"1", 3, 2),), 4, 2))
        self.assertEqual(at(4, 2), cache.version)
        self.assertEqual({"b": b"1"}, values(cache))

    def test_a_restored_older_configuration_does_not_replace_the_confirmed_one(self):
        cache = create(item("config", b"9", 30), revision=32)
        changed = cache.on_listing(listing((item("config", b"4", 5, 2),), 20, 2))
        self.assertEqual([], changed)
        self.assertEqual({"config": b"9"}, values(cache))
        self.assertEqual(1, cache.kept_count)

    def test_a_configuration_that_the_copy_lacks_stays_in_force(self):
        cache = create(item("config", b"9", 30), revision=32)
        cache.on_listing(listing((), 20, 2))
        cache.on_listing(listing((), 21, 2))
        self.assertEqual({"config": b"9"}, values(cache))

    def test_a_configuration_written_again_or_next_is_taken(self):
        for number in (b"9", b"11"):
            cache = create(item("config", b"9", 30), revision=32)
            cache.on_listing(listing((item("config", b"4", 5, 2),), 20, 2))
            cache.on_changes(at(20, 2), [item("config", number, 21, 2)], at(21, 2))
            self.assertEqual({"config": number}, values(cache))
            self.assertEqual(0, cache.kept_count)

    def test_numbers_written_again_in_turn_never_take_a_daemon_back(self):
        cache = create(item("config", b"9", 30), revision=32)
        cache.on_listing(listing((item("config", b"4", 5, 2),), 20, 2))
        for revision, number in enumerate((b"6", b"8", b"9"), 21):
            cache.on_changes(
                at(revision - 1, 2), [item("config", number, revision, 2)], at(revision, 2)
            )
            self.assertEqual({"config": b"9"}, values(cache))
        self.assertEqual(0, cache.overruled_count)

    def test_a_lower_number_that_the_operator_lets_stand_is_not_shut_out(self):
        now = [0.0]
        cache = StoreCache(NumberedDocuments(), lambda: now[0])
        cache.on_changes(at(0), [item("config", b"9", 30)], at(32))
        cache.on_listing(listing((item("config", b"4", 5, 2),), 20, 2))
        cache.on_changes(at(20, 2), [item("config", b"7", 21, 2)], at(21, 2))
        now[0] = REWRITE_S - 0.1
        self.assertEqual([], cache.release_overruled())
        now[0] = REWRITE_S
        self.assertEqual([item("config", b"7", 21, 2)], cache.release_overruled())
        self.assertEqual({"config": b"7"}, values(cache))

    def test_a_server_that_had_gone_does_not_return_by_its_old_entry(self):
        cache = create(item("server", b"5", 8), revision=8)
        cache.on_changes(at(8), [item("server", None, 9)], at(9))
        cache.on_listing(listing((item("server", b"5", 3, 2),), 4, 2))
        self.assertEqual({}, values(cache))
        cache.on_changes(at(4, 2), [item("server", b"6", 5, 2)], at(5, 2))
        self.assertEqual({"server": b"6"}, values(cache))

    def test_a_server_that_had_said_it_leaves_does_not_return_by_its_old_entry(self):
        cache = create(item("server", b"7", 8), revision=8)
        cache.on_listing(listing((item("server", b"5", 3, 2),), 4, 2))
        self.assertEqual({"server": b"7"}, values(cache))

    def test_a_server_that_only_the_copy_lacks_may_return_after_another_restore(self):
        cache = create(item("server", b"5", 8), revision=8)
        missing = cache.on_listing(listing((), 4, 2))
        self.assertEqual([("server", None, True)], [(m.key, m.value, m.forgotten) for m in missing])
        cache.on_listing(listing((item("server", b"5", 3, 3),), 4, 3))
        self.assertEqual({"server": b"5"}, values(cache))

    def test_nothing_of_an_earlier_era_overwrites_a_later_one(self):
        cache = create(item("a", b"1", 9), revision=9)
        cache.on_listing(listing((item("a", b"2", 3, 2),), 4, 2))
        self.assertEqual([], cache.on_changes(at(9), [item("a", b"3", 10)], at(10)))
        self.assertEqual([], cache.on_listing(listing((item("a", b"3", 50),), 50)))
        self.assertEqual({"a": b"2"}, values(cache))
        self.assertEqual(at(4, 2), cache.version)

    def test_changes_into_a_new_era_apply_only_to_the_version_that_they_start_from(self):
        moved = [item("a", b"1", 2, 2)]
        behind = create(item("a", b"1", 2), revision=8)
        ahead = create(item("a", b"5", 10), revision=10)
        equal = create(item("a", b"5", 9), item("b", b"1", 1), revision=9)
        for cache in (behind, ahead):
            self.assertIsNone(cache.on_changes(at(9), moved, at(4, 2)))
        self.assertIsNotNone(equal.on_changes(at(9), moved, at(4, 2)))
        self.assertEqual({2}, {found.version.era for found in equal.items()})
        self.assertEqual(at(4, 2), equal.version)

    def test_a_daemon_of_another_era_gets_a_whole_copy(self):
        cache = create(item("a", b"1", 9), revision=9)
        cache.on_listing(listing((item("a", b"1", 3, 2),), 4, 2))
        self.assertIsNone(cache.changes_after(at(2)))
        self.assertIsNotNone(cache.changes_after(at(2, 2)))

    def test_a_daemon_that_started_after_the_restore_learns_what_the_store_forgot(self):
        knowing = create(item("config", b"9", 30), item("gone", b"2", 7), revision=31)
        knowing.on_changes(at(31), [item("gone", None, 32)], at(32))
        restored = listing((item("config", b"4", 5, 2), item("gone", b"2", 7, 2)), 20, 2)
        knowing.on_listing(restored)
        started = StoreCache(NumberedDocuments())
        started.on_listing(restored)
        self.assertEqual({"config": b"4", "gone": b"2"}, values(started))
        started.on_listing(copied(knowing))
        self.assertEqual({"config": b"9"}, values(started))
        self.assertEqual(knowing.kept_count, started.kept_count)

    def test_two_restores_in_succession_keep_what_was_confirmed_before_both(self):
        cache = create(item("config", b"9", 30), revision=32)
        for era in (2, 3):
            cache.on_listing(listing((item("config", b"4", 5, era),), 20, era))
        self.assertEqual({"config": b"9"}, values(cache))

    @given(st.data())
    def test_daemons_that_exchange_copies_agree_after_a_restore(self, data):
        numbers = st.integers(1, 9)
        caches = []
        shown = listing((item("config", b"%d" % data.draw(numbers), 5, 2),), 20, 2)
        for _ in range(3):
            known = data.draw(numbers)
            caches.append(create(item("config", b"%d" % known, 20 + known), revision=30))
        latest = max(int(found.value or b"") for c in caches for found in c.items())
        for cache in caches:
            cache.on_listing(shown)
        for _ in range(2):
            for cache in caches:
                for other in caches:
                    cache.on_listing(copied(other))
        expected = max(latest, int(shown.items[0].value or b""))
        self.assertEqual([{"config": b"%d" % expected}] * 3, [values(c) for c in caches])


class EraTest(testtools.TestCase):
    def test_an_answer_that_skips_eras_is_believed_only_if_the_next_one_agrees(self):
        believed = BelievedEra()
        with self.assertRaises(DoubtfulEraError):
            believed.on_answer(700)
        with self.assertRaises(DoubtfulEraError):
            believed.on_answer(3)
        self.assertEqual(3, believed.on_answer(3))
        with self.assertRaises(DoubtfulEraError):
            believed.on_answer(900)
        self.assertEqual(4, believed.on_answer(4))
        with self.assertRaises(DoubtfulEraError):
            believed.on_answer(8)
        self.assertEqual(8, believed.on_answer(8))

    def test_an_answer_without_an_era_belongs_to_the_known_one(self):
        believed = BelievedEra()
        self.assertEqual(0, believed.on_answer(None))
        believed.on_known(5)
        self.assertEqual(5, believed.on_answer(None))

    def test_an_earlier_era_is_never_believed(self):
        believed = BelievedEra()
        believed.on_known(5)
        self.assertEqual(4, believed.on_answer(4))
        self.assertEqual(5, believed.era)


class ForgottenBlockTest(testtools.TestCase):
    def create(self, owned: bool) -> Quarantine:
        import random

        quarantine = Quarantine(random.Random(1))
        quarantine.on_stored(0.0, "request", owned)
        quarantine.on_forgotten(10.0, "request", owned)
        return quarantine

    def test_a_block_that_the_store_forgot_goes_on_at_every_daemon(self):
        for owned in (True, False):
            quarantine = self.create(owned)
            self.assertGreater(quarantine.blocked_s(11.0, "request"), 0)
            self.assertEqual(0, quarantine.blocked_s(BLOCK_S + 0.1, "request"))

    def test_the_owner_of_a_forgotten_key_writes_it_again_before_others(self):
        owner, reader, other = self.create(True), self.create(False), self.create(False)
        self.assertEqual(["request"], list(owner.due_writes(10.5, False)))
        self.assertEqual([], list(reader.due_writes(10.5, True)))
        self.assertEqual([], list(other.due_writes(15.0, False)))
        reader.on_stored(10.6, "request", False)
        self.assertEqual([], list(reader.due_writes(15.0, True)))

    def test_a_forgotten_key_is_written_by_a_reader_if_its_owner_is_gone(self):
        self.assertEqual(["request"], list(self.create(False).due_writes(15.0, True)))


class WriterOrderTest(testtools.TestCase):
    def test_documents_of_one_writer_are_ordered_by_its_own_numbers(self):
        order = PlatformDocuments().writer_order
        self.assertLess(order("op/config", b'{"version": 4}'), order("op/config", b'{"version":9}'))
        cleared = order("quarantine/x", b'{"owner": "g", "cleared": true}')
        self.assertLess(order("quarantine/x", b'{"owner": "g"}'), cleared)
        for value in (b"", b"[]", b'{"version": "9"}', b"\xff"):
            self.assertIsNone(order("op/config", value))
        self.assertIsNone(order("other", b"{}"))


class DeletedKeysTest(testtools.TestCase):
    VALUE_BYTES = 100_000
    COUNT = 100

    def test_large_values_that_are_written_and_deleted_are_not_held(self):
        cache = StoreCache(PlatformDocuments())
        tracemalloc.start()
        try:
            for number in range(self.COUNT):
                key, revision = f"servers/i-{number}", 2 * number
                value = b"x" * self.VALUE_BYTES
                cache.on_changes(at(revision), [item(key, value, revision + 1)], at(revision + 1))
                deleted = item(key, None, revision + 2)
                cache.on_changes(at(revision + 1), [deleted], at(revision + 2))
            held = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        self.assertLess(held, 10 * self.VALUE_BYTES)
        copy = CacheCopy(cache.changes_after(at(1)) or (), cache.version)
        self.assertLess(len(encode_copy(copy)), self.VALUE_BYTES)

    def test_an_entry_that_the_copy_shows_stays_deleted_unless_it_is_later(self):
        entry = b"""{"addr": "10.0.0.1:1", "born": %d,
            "info": {"backend": "b", "zone": "z", "capacity": 1},
            "status": {"state": "ready", "seq": 1, "warmup_time": "0ms"}}"""
        for born, expected in ((4, {}), (5, {}), (6, {"servers/s": entry % 6})):
            cache = StoreCache(PlatformDocuments())
            cache.on_changes(at(0), [item("servers/s", entry % 5, 1)], at(1))
            cache.on_changes(at(1), [item("servers/s", None, 2)], at(2))
            cache.on_listing(listing((item("servers/s", entry % born, 1, 2),), 1, 2))
            kept = {key: value for key, value in values(cache).items() if value is not None}
            self.assertEqual(expected, kept)


class CopyCodecTest(testtools.TestCase):
    def test_a_copy_keeps_eras_flags_and_the_last_document_s_place(self):
        items = (
            VersionedItem("a", b"text", StoreVersion(2, 7)),
            VersionedItem("b", b"\xff", StoreVersion(2, 8), forgotten=True),
            VersionedItem("c", None, StoreVersion(2, 9), True, (7, 2)),
        )
        copy = CacheCopy(items, StoreVersion(2, 9), StoreVersion(1, 3))
        decoded = decode_copy(encode_copy(copy))
        self.assertEqual(copy, decoded)
        last = [attrs.astuple(found)[-1] for found in decoded.items]
        self.assertEqual([None, None, (7, 2)], last)

    def test_a_copy_with_a_malformed_version_is_no_copy(self):
        import json
        import zlib

        for version in (7, [1], [1, -1], [True, 1], ["1", 2], [1, 2, 3], None):
            data = json.dumps({"version": version, "after": None, "items": []}).encode()
            with self.assertRaises(ValueError):
                decode_copy(zlib.compress(data))
