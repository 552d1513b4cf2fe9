from __future__ import annotations

import testtools

from specs import operations as spec


class BrokenVariantsTest(testtools.TestCase):
    def test_every_broken_variant_violates_the_invariant(self):
        for name, variant in spec.BROKEN_BY_NAME.items():
            violation = spec.first_violation(variant)
            self.assertIsNotNone(violation, name)
            self.assertEqual("runs at most once", violation[0], name)
