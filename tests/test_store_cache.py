from __future__ import annotations

from random import Random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sycamorebay.coordination.fleet_view import Contact
from sycamorebay.coordination.readers import (
    LEAF_STALE_AFTER_S,
    STALE_AFTER_S,
    Candidate,
    ReaderSelection,
    select_readers,
)
from sycamorebay.coordination.retry_budget import RetryLimits, WindowedRetryBudget
from sycamorebay.coordination.splitting import Splitter
from sycamorebay.coordination.store_cache import MAX_TOMBSTONES, StoreCache
from sycamorebay.state.routing import Route, RouteKind, WeightedService
from sycamorebay.state.server_entries import ServerEntries, ServerEntry
from sycamorebay.state.store_versions import StoreVersion, VersionedItem, VersionedListing


def at(revision: int, era: int = 1) -> StoreVersion:
    return StoreVersion(era, revision)


def item(key: str, value: bytes | None, revision: int, era: int = 1) -> VersionedItem:
    return VersionedItem(key, value, at(revision, era))


def listing(items: tuple[VersionedItem, ...], revision: int, era: int = 1) -> VersionedListing:
    return VersionedListing(items, at(revision, era))


CHANGES = st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=12).map(
    lambda drawn: [
        item(key, b"%d" % version if kept else None, version)
        for version, (key, kept) in enumerate(drawn, 1)
    ]
)


def expected_items(changes: list[VersionedItem]) -> dict[str, bytes | None]:
    latest = {change.key: change for change in changes}
    return {key: last.value for key, last in latest.items() if last.value is not None}


def cached_items(cache: StoreCache) -> dict[str, bytes | None]:
    return {found.key: found.value for found in cache.items()}


class StoreCacheTest(testtools.TestCase):
    @given(CHANGES, st.randoms(use_true_random=False))
    def test_changes_in_any_order_give_the_same_items(self, changes, rng):
        cache = StoreCache()
        for change in rng.sample(changes, len(changes)):
            cache.on_changes(at(0), [change], at(0))
        self.assertEqual(expected_items(changes), cached_items(cache))

    @given(CHANGES, st.data())
    def test_an_older_listing_never_restores_an_item(self, changes, data):
        cache = StoreCache()
        cache.on_changes(at(0), changes, at(len(changes)))
        listed = data.draw(st.integers(0, len(changes)))
        latest = {change.key: change for change in changes[:listed]}
        items = tuple(last for last in latest.values() if last.value is not None)
        self.assertEqual([], cache.on_listing(listing(items, listed)))
        self.assertEqual(expected_items(changes), cached_items(cache))

    def test_a_listing_deletes_items_that_it_lacks(self):
        cache = StoreCache()
        cache.on_changes(at(0), [item("a", b"1", 1), item("b", b"2", 2)], at(2))
        changed = cache.on_listing(listing((item("b", b"2", 2),), 5))
        self.assertEqual([item("a", None, 5)], changed)

    def test_an_item_later_than_its_listing_is_kept(self):
        cache = StoreCache()
        cache.on_changes(at(0), [item("late", b"x", 9)], at(9))
        self.assertEqual([], cache.on_listing(listing((), 7)))
        self.assertEqual({"late": b"x"}, cached_items(cache))

    def test_a_dropped_tombstone_does_not_let_an_older_copy_restore_its_key(self):
        cache = StoreCache()
        cache.on_changes(at(0), [item("gone", b"1", 1)], at(1))
        cache.on_changes(at(1), [item("gone", None, 2)], at(2))
        last = MAX_TOMBSTONES + 3
        cache.on_changes(at(2), [item(f"k{v}", None, v) for v in range(3, last)], at(last))
        self.assertEqual([], cache.on_listing(listing((item("gone", b"1", 1),), 1)))
        self.assertEqual({}, cached_items(cache))
        self.assertIsNone(cache.changes_after(at(1)))

    def test_live_items_do_not_displace_tombstones(self):
        cache = StoreCache()
        cache.on_changes(at(0), [item("gone", b"1", 1), item("gone", None, 2)], at(2))
        last = 2 * MAX_TOMBSTONES
        cache.on_changes(at(2), [item(f"k{v}", b"1", v) for v in range(3, last)], at(last))
        self.assertIn(item("gone", None, 2), cache.changes_after(at(1)) or ())

    @given(CHANGES, st.integers(0, 12))
    def test_the_changes_after_a_version_bring_an_older_cache_up_to_date(self, changes, split):
        source, older = StoreCache(), StoreCache()
        source.on_changes(at(0), changes, at(len(changes)))
        known = min(split, len(changes))
        older.on_changes(at(0), changes[:known], at(known))
        older.on_changes(at(known), source.changes_after(at(known)) or (), source.version)
        self.assertEqual(cached_items(source), cached_items(older))
        self.assertEqual(source.version, older.version)

    def test_missing_changes_are_reported(self):
        cache = StoreCache()
        cache.on_changes(at(0), [], at(3))
        self.assertIsNone(cache.on_changes(at(4), [item("a", b"1", 5)], at(5)))
        self.assertEqual(at(3), cache.version)


class ReadersTest(testtools.TestCase):
    FLEET = tuple(
        Candidate(Contact(f"g{number}", ("10.0.0.1", number), "abc"[number % 3]), True)
        for number in range(13)
    )

    def test_all_daemons_select_the_same_readers_in_different_failure_domains(self):
        chosen = select_readers(self.FLEET)
        self.assertEqual(chosen, select_readers(reversed(self.FLEET)))
        self.assertEqual(2, len(chosen))
        domains = {c.contact.failure_domain for c in self.FLEET if c.contact.name in chosen}
        self.assertEqual(2, len(domains))

    def test_a_reader_that_cannot_reach_the_store_is_replaced(self):
        unreachable = select_readers(self.FLEET)[0]
        fleet = [
            Candidate(c.contact, reaches_store=c.contact.name != unreachable) for c in self.FLEET
        ]
        self.assertNotIn(unreachable, select_readers(fleet))
        self.assertEqual(2, len(select_readers(fleet)))

    def test_while_nobody_reaches_the_store_two_daemons_keep_trying(self):
        fleet = [Candidate(candidate.contact, False) for candidate in self.FLEET]
        self.assertEqual(select_readers(self.FLEET), select_readers(fleet))

    def test_a_daemon_with_a_wide_link_is_selected_first(self):
        wide = Candidate(Contact("w", ("10.0.0.1", 99), "a", 200.0), True)
        self.assertEqual("w", select_readers([*self.FLEET, wide])[0])

    def test_a_daemon_without_confirmations_is_stale_and_a_leaf_later_than_its_relays(self):
        selection = ReaderSelection(Random(1), 0.0, first_start=True)
        self.assertFalse(selection.is_stale(10.0, 10.0 - STALE_AFTER_S, is_relay=True))
        self.assertTrue(selection.is_stale(10.0, 10.0 - STALE_AFTER_S - 0.3, is_relay=True))
        self.assertFalse(selection.is_stale(10.0, 10.0 - LEAF_STALE_AFTER_S, is_relay=False))
        self.assertTrue(selection.is_stale(10.0, 10.0 - LEAF_STALE_AFTER_S - 0.2, is_relay=False))

    def test_a_daemon_that_has_just_started_waits_for_its_peers(self):
        selection = ReaderSelection(Random(1), 5.0, first_start=True)
        own = next(c for c in self.FLEET if c.contact.name == select_readers(self.FLEET)[0])
        self.assertFalse(selection.is_selected(5.2, own, self.FLEET))
        self.assertFalse(selection.is_selected(5.4, own, []))
        self.assertTrue(selection.is_selected(5.4, own, self.FLEET))
        self.assertFalse(selection.is_stale(6.0, float("-inf"), is_relay=True))

    def test_a_restarted_daemon_without_peers_reads_soon_but_not_at_once(self):
        own = self.FLEET[0]
        for seed in range(20):
            selection = ReaderSelection(Random(seed), 5.0, first_start=False)
            self.assertFalse(selection.is_selected(5.01, own, []))
            self.assertTrue(selection.is_selected(5.2, own, []))


class ServerEntriesTest(testtools.TestCase):
    def entry(self, **changes: object) -> ServerEntry:
        return ServerEntry("s", "desk", "10.0.0.1:1", "a", 3, **changes)  # type: ignore[arg-type]

    def test_an_older_entry_does_not_end_leaving(self):
        entries = ServerEntries()
        entries.put(self.entry(leaving=True, sequence=9, started_ms=5))
        self.assertFalse(entries.put(self.entry(sequence=8, started_ms=5)))
        self.assertTrue(entries.get("s").leaving)

    def test_an_entry_of_a_new_start_replaces_the_known_one(self):
        entries = ServerEntries()
        entries.put(self.entry(leaving=True, sequence=9, started_ms=5))
        self.assertTrue(entries.put(self.entry(sequence=1, started_ms=6)))
        self.assertFalse(entries.get("s").leaving)

    def test_a_missing_entry_is_held_and_then_dropped(self):
        entries = ServerEntries()
        entries.put(self.entry())
        self.assertFalse(entries.remove(1.0, "s", hold_until=3.0))
        self.assertEqual([], entries.expire(2.9))
        self.assertIsNotNone(entries.get("s"))
        self.assertEqual(["s"], entries.expire(3.0))
        self.assertIsNone(entries.get("s"))

    def test_a_held_entry_that_returns_stays(self):
        entries = ServerEntries()
        entries.put(self.entry())
        entries.remove(1.0, "s", hold_until=3.0)
        entries.put(self.entry(sequence=1))
        self.assertEqual([], entries.expire(9.0))


class RetryBudgetTest(testtools.TestCase):
    LIMITS = RetryLimits(ratio=0.2, slack=60.0, window_s=10.0)

    @given(st.integers(1, 40), st.lists(st.floats(0.0, 40.0), max_size=300))
    def test_a_fleet_stays_within_the_bound_in_every_window(self, daemons, times):
        budget = WindowedRetryBudget(self.LIMITS)
        retried_at = []
        for now in sorted(times):
            budget.on_request(now)
            if budget.take(now, daemons):
                retried_at.append(now)
        for end in retried_at:
            in_window = [at for at in retried_at if end - 10.0 < at <= end]
            requests = [at for at in times if end - 10.0 < at <= end]
            self.assertLessEqual(len(in_window), 0.2 * len(requests) + 60.0 / daemons)

    def test_hedges_leave_budget_for_retries(self):
        budget = WindowedRetryBudget(self.LIMITS)
        hedges = sum(budget.take(0.0, 1, 0.5) for _ in range(100))
        retries = sum(budget.take(0.0, 1) for _ in range(100))
        self.assertEqual((24, 24), (hedges, retries))


class SplitterTest(testtools.TestCase):
    def test_each_service_gets_its_share(self):
        weighted_services = (WeightedService("a", 90), WeightedService("b", 10))
        route = Route("r", "h", "/", RouteKind.SAFE, 1.0, 0.3, 2, 2, weighted_services)
        splitter = Splitter(Random(3))
        chosen = [splitter.choose(route) for _ in range(200)]
        self.assertAlmostEqual(0.9, chosen.count("a") / 200, delta=0.05)
