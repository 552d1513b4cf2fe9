from __future__ import annotations

import testtools

from specs import caller_connection as spec

STATES = (11292, 10650)
# The open fault of docs/incidents/broken-download.md must stay the only one that is found when any
# large answer may break off.
OPEN = "an answer of over 1 MiB to a safe request breaks off"


class CheckerTest(testtools.TestCase):
    def test_the_fault_of_every_broken_variant_is_found(self):
        for name, (violated, variant) in spec.BROKEN_BY_NAME.items():
            self.assertIn(violated, spec.violations(spec.check(variant)), name)

    def test_the_state_machine_holds_the_properties_in_every_order_of_events(self):
        for variant, states in zip(spec.SHORT, STATES, strict=True):
            result = spec.check(variant)
            self.assertTrue(result["exhaustive"])
            self.assertEqual({}, spec.violations(result))
            self.assertEqual(states, result["reachable_states"])

    def test_no_other_property_is_violated_when_any_large_answer_breaks_off(self):
        violated, variant = spec.BROKEN_BY_NAME[OPEN]
        self.assertEqual({violated}, set(spec.violations(spec.check(variant))))
