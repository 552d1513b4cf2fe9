from __future__ import annotations

import testtools

from specs import operations as spec


class BrokenVariantsTest(testtools.TestCase):
    def test_the_fault_of_every_broken_variant_is_found(self):
        for name, variant in spec.BROKEN_BY_NAME.items():
            fault = spec.first_fault(variant)
            self.assertIsNotNone(fault, name)
            self.assertEqual("runs at most once", fault[0], name)
