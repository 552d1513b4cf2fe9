from __future__ import annotations

import testtools

from specs import configuration as spec

STATES_BY_NAME = {"changes": 1091, "entries": 20535, "registration": 238}


class SpecificationTest(testtools.TestCase):
    def test_every_broken_variant_violates_an_invariant(self):
        for name, variant in spec.BROKEN_BY_NAME.items():
            self.assertIsNotNone(spec.find_violation(spec.check(variant)), name)

    def test_the_invariants_hold_over_the_whole_bounded_spaces(self):
        for name, states in STATES_BY_NAME.items():
            result = spec.check(spec.SOUND_BY_NAME[name])
            self.assertTrue(result["exhaustive"], name)
            self.assertIsNone(spec.find_violation(result), name)
            self.assertEqual(states, result["reachable_states"], name)
