from __future__ import annotations

from random import Random

import testtools

from specs import restore as spec
from sycamorebay.coordination.store_cache import StoreCache
from sycamorebay.protocol.store_items import CacheCopy
from sycamorebay.state.store_versions import StoreVersion, VersionedItem, VersionedListing
from tests.test_store_restore import NumberedDocuments

STATES = (5617, 5097, 41241)
WALKS = 300
STEPS = 40


class SpecificationTest(testtools.TestCase):
    def test_every_broken_variant_violates_an_invariant(self):
        for name, variant in spec.BROKEN_BY_NAME.items():
            self.assertIsNotNone(spec.find_violation(spec.check(variant)), name)

    def test_the_invariants_hold_over_the_whole_bounded_spaces(self):
        for variant, states in zip(spec.SOUND, STATES, strict=True):
            result = spec.check(variant)
            self.assertTrue(result["exhaustive"])
            self.assertIsNone(spec.find_violation(result))
            self.assertEqual(states, result["reachable_states"])


class Caches:
    """Caches that follow the steps of the specification."""

    def __init__(self, count: int) -> None:
        self.caches = [StoreCache(NumberedDocuments()) for _ in range(count)]
        self.late: CacheCopy | None = None

    def follow(self, label: str, store: spec.Store) -> None:
        """Take a step with the store as it is."""
        name, *numbers = label.split()
        if name == "read":
            self._read(self.caches[int(numbers[0])], store)
        elif name == "hear":
            late = numbers[1] == "late"
            copy = self.late if late else self._copy(int(numbers[1]))
            assert copy is not None
            self.caches[int(numbers[0])].on_listing(VersionedListing(copy.items, copy.version))
        elif name == "delay":
            self.late = self._copy(int(numbers[0]))
        elif name == "restart":
            self.caches[int(numbers[0])] = StoreCache(NumberedDocuments())

    def state(self, index: int) -> spec.Daemon:
        """Return a cache as the specification describes it."""
        cache = self.caches[index]
        number = next((int(item.value or b"") for item in cache.items()), 0)
        return spec.Daemon(cache.version.era, cache.version.revision, number)

    def _read(self, cache: StoreCache, store: spec.Store) -> None:
        version = StoreVersion(store.era, store.revision)
        item = VersionedItem(
            "config", b"%d" % store.number, StoreVersion(store.era, store.written_at)
        )
        if cache.version.era != store.era:
            cache.on_listing(VersionedListing((item,), version))
            return
        items = [item] if item.version > cache.version else []
        cache.on_changes(cache.version, items, version)

    def _copy(self, index: int) -> CacheCopy:
        cache = self.caches[index]
        return CacheCopy(cache.items(), cache.version)


class ConformanceTest(testtools.TestCase):
    def test_caches_take_the_steps_of_the_specification(self):
        variant = spec.Variant(writes=4, restores=3, restarts=3)
        for seed in range(WALKS):
            rng, state = Random(seed), spec.State(daemons=(spec.Daemon(),) * variant.daemons)
            caches = Caches(variant.daemons)
            for _ in range(STEPS):
                label, state = rng.choice(list(spec.steps(variant, state)))
                caches.follow(label, state.store)
                for index, daemon in enumerate(state.daemons):
                    self.assertEqual(daemon, caches.state(index), (seed, label))
