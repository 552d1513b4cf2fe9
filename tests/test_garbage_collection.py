from __future__ import annotations

import gc

import testtools

from sycamorebay.transport import garbage_collection


class GarbageCollectionTest(testtools.TestCase):
    def test_loaded_objects_are_excluded_from_later_collections(self):
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.unfreeze)
        garbage_collection.tune_for_latency()
        self.assertGreater(gc.get_freeze_count(), 1000)
        self.assertLess(len(gc.get_objects()), 1000)
        self.assertEqual(garbage_collection.GENERATION_0_THRESHOLD, gc.get_threshold()[0])
