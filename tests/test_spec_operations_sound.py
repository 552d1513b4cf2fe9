from __future__ import annotations

import testtools

from specs import operations as spec

STATES_BY_NAME = {"two sends, a crash": 3436, "two sends, a join, a crash": 103754}


class SoundVariantsTest(testtools.TestCase):
    def test_the_invariants_hold_over_the_whole_bounded_space(self):
        for name, states in STATES_BY_NAME.items():
            result = spec.check(spec.SOUND_BY_NAME[name])
            self.assertTrue(result["exhaustive"], name)
            self.assertEqual(states, result["reachable_states"], name)
            for invariant, outcome in result["properties"].items():
                self.assertIs(True, outcome["holds"], (name, invariant))
