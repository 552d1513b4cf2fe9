"""Notices of leaving backend servers expire and stay bounded as they spread by gossip."""

from __future__ import annotations

import testtools

from sycamorebay.coordination.leaving import (
    MAX_NOTICES,
    NOTICE_TTL_S,
    LeavingNotice,
    LeavingNotices,
)


class LeavingNoticesTest(testtools.TestCase):
    def test_forwarded_notices_keep_their_age_and_expire(self):
        first, second = LeavingNotices(), LeavingNotices()
        self.assertTrue(first.on_observed(0.0, ["s"]))
        self.assertFalse(first.on_observed(0.125, ["s"]))
        update = second.on_peer_notices(1.125, first.outgoing(1.125))
        self.assertEqual(({"s": 0.125}, True), (update.seen_at_by_id, update.has_new))
        self.assertEqual({}, first.on_peer_notices(2.125, second.outgoing(2.125)).seen_at_by_id)
        self.assertEqual([LeavingNotice("s", 2.0)], second.outgoing(2.125))
        self.assertEqual([], second.outgoing(0.125 + NOTICE_TTL_S))
        self.assertEqual(
            {}, second.on_peer_notices(9.0, [LeavingNotice("s", NOTICE_TTL_S)]).seen_at_by_id
        )

    def test_outgoing_notices_are_bounded(self):
        notices = LeavingNotices()
        notices.on_observed(0.0, [f"s{n}" for n in range(MAX_NOTICES)])
        notices.on_observed(1.0, ["young"])
        outgoing = notices.outgoing(1.0)
        self.assertEqual(MAX_NOTICES, len(outgoing))
        self.assertEqual(LeavingNotice("young", 0.0), outgoing[0])

    def test_a_notice_beyond_the_bound_is_new_only_once(self):
        notices = LeavingNotices()
        notices.on_observed(1.0, [f"s{n}" for n in range(MAX_NOTICES)])
        self.assertTrue(notices.on_peer_notices(1.0, [LeavingNotice("old", 1.0)]).has_new)
        self.assertNotIn("old", {one.server_id for one in notices.outgoing(1.0)})
        self.assertFalse(notices.on_peer_notices(1.5, [LeavingNotice("old", 1.0)]).has_new)
