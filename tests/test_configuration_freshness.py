from __future__ import annotations

import testtools

from sycamorebay.coordination.configuration import Configuration, Fetch, Revision
from sycamorebay.coordination.freshness import Freshness
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.messages import Refuse, Request, Send
from sycamorebay.settings import FreshnessSettings
from tests.support import dispatcher, document_text

LIMITS = FreshnessSettings()


def tick_between(freshness: Freshness, start: float, end: float) -> None:
    """Tick from `start` to `end`, several times a second."""
    for tenth in range(int(start * 10), int(end * 10) + 1):
        freshness.on_tick(tenth / 10)


class FreshnessTest(testtools.TestCase):
    def settled(self, *peers: str) -> Freshness:
        freshness = Freshness(0.0, LIMITS)
        freshness.on_in_force(0.1, 1)
        freshness.on_store(0.2, 0.1)
        freshness.on_heartbeat_round(0.2, peers)
        for peer in peers:
            freshness.on_peer(0.2, peer, 0.1)
        self.assertEqual("", freshness.refusal_reason(0.2))
        return freshness

    def test_refuses_without_a_document(self):
        self.assertIn("no configuration", Freshness(0.0, LIMITS).refusal_reason(0.1))

    def test_a_started_entry_waits_for_every_peer_up_to_a_timeout(self):
        freshness = Freshness(0.0, LIMITS)
        freshness.on_in_force(0.1, 1)
        freshness.on_store(0.2, 0.1)
        freshness.on_heartbeat_round(0.2, ["b", "c"])
        freshness.on_peer(0.3, "b", 0.1)
        self.assertNotEqual("", freshness.refusal_reason(0.4))
        tick_between(freshness, 0.4, LIMITS.settle_s)
        self.assertEqual("", freshness.refusal_reason(LIMITS.settle_s))

    def test_a_started_entry_without_any_answer_refuses(self):
        freshness = Freshness(0.0, LIMITS)
        freshness.on_in_force(0.1, 1)
        freshness.on_heartbeat_round(0.1, ["b"])
        tick_between(freshness, 0.1, 30.0)
        self.assertNotEqual("", freshness.refusal_reason(30.0))

    def test_a_started_entry_does_not_serve_an_older_revision_than_a_peer_has(self):
        freshness = Freshness(0.0, LIMITS)
        freshness.on_in_force(0.1, 1)
        freshness.on_store(0.2, 0.1)
        freshness.on_heartbeat_round(0.2, ["b"])
        freshness.on_known_revision(0.3, 2)
        freshness.on_peer(0.3, "b", 0.1)
        tick_between(freshness, 0.3, 5.0)
        self.assertNotEqual("", freshness.refusal_reason(5.0))
        freshness.on_in_force(5.0, 2)
        self.assertEqual("", freshness.refusal_reason(5.0))

    def test_the_first_answer_of_the_store_requires_a_round_of_heartbeats_to_its_peers(self):
        freshness = Freshness(0.0, LIMITS)
        freshness.on_heartbeat_round(0.1, [])
        freshness.on_in_force(0.2, 1)
        freshness.on_store(0.2, 0.1)
        self.assertNotEqual("", freshness.refusal_reason(0.2))
        freshness.on_heartbeat_round(0.3, ["b"])
        self.assertNotEqual("", freshness.refusal_reason(0.3))
        freshness.on_peer(0.4, "b", 0.3)
        self.assertEqual("", freshness.refusal_reason(0.4))

    def test_an_entry_queries_again_after_a_pause_before_it_serves(self):
        freshness = self.settled("b")
        resumed_at = 0.2 + LIMITS.pause_s + 0.1
        self.assertNotEqual("", freshness.refusal_reason(resumed_at))
        freshness.on_peer(resumed_at, "b", requested_at=0.2)
        freshness.on_store(resumed_at, requested_at=0.2)
        self.assertNotEqual("", freshness.refusal_reason(resumed_at))
        freshness.on_heartbeat_round(resumed_at, ["b"])
        freshness.on_peer(resumed_at + 0.1, "b", requested_at=resumed_at)
        self.assertEqual("", freshness.refusal_reason(resumed_at + 0.1))

    def test_an_entry_cut_off_from_all_stops(self):
        freshness = self.settled("b")
        tick_between(freshness, 0.2, LIMITS.isolated_s)
        self.assertEqual("", freshness.refusal_reason(LIMITS.isolated_s))
        tick_between(freshness, LIMITS.isolated_s, LIMITS.isolated_s + 1)
        self.assertNotEqual("", freshness.refusal_reason(LIMITS.isolated_s + 1))
        freshness.on_peer(LIMITS.isolated_s + 1, "b", LIMITS.isolated_s + 0.9)
        self.assertEqual("", freshness.refusal_reason(LIMITS.isolated_s + 1))

    def test_an_entry_without_peers_serves_through_an_outage(self):
        freshness = self.settled()
        tick_between(freshness, 0.2, 600.0)
        self.assertEqual("", freshness.refusal_reason(600.0))

    def test_an_entry_that_cannot_apply_a_newer_revision_refuses(self):
        freshness = self.settled("b")
        freshness.on_known_revision(1.0, 2)
        tick_between(freshness, 1.0, 10.0)
        freshness.on_peer(10.0, "b", 9.9)
        self.assertEqual("", freshness.refusal_reason(10.0))
        tick_between(freshness, 10.0, 12.0)
        self.assertIn("newer", freshness.refusal_reason(12.0))
        freshness.on_in_force(12.0, 2)
        self.assertEqual("", freshness.refusal_reason(12.0))

    def test_the_dispatcher_refuses_and_writes_no_byte_while_there_is_a_refusal_reason(self):
        subject = dispatcher()
        request = Request(1, "desk.test", "GET", "/prices")
        (send,) = subject.on_request(0.0, request)
        self.assertIsInstance(send, Send)
        subject.refusal_reason = lambda: "not current"
        self.assertFalse(subject.may_send(send.attempt_id))
        (refuse,) = subject.on_request(0.0, Request(2, "desk.test", "GET", "/prices"))
        self.assertIsInstance(refuse, Refuse)
        self.assertEqual(("not-run", "configuration"), (refuse.refusal.tag, refuse.refusal.step))


class FetchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.configuration = Configuration(Invariants(strict=True))
        self.configuration.on_revision(0.0, Revision(3, document_text()))

    def test_a_newer_revision_is_fetched_once_at_a_time(self):
        on_peer_revision = self.configuration.on_peer_revision
        self.assertEqual(Fetch("b", 3), on_peer_revision(1.0, "b", 4, b""))
        self.assertIsNone(on_peer_revision(1.1, "c", 4, b""))
        self.configuration.on_fetch_ended(1.2)
        self.assertEqual(Fetch("c", 3), on_peer_revision(1.3, "c", 4, b""))

    def test_a_fetch_that_hangs_delays_others_only_up_to_a_timeout(self):
        self.configuration.on_peer_revision(1.0, "b", 4, b"")
        self.assertEqual(Fetch("c", 3), self.configuration.on_peer_revision(7.0, "c", 4, b""))

    def test_an_older_or_the_same_revision_is_not_fetched(self):
        digest = bytes.fromhex(self.configuration.digest)[:8]
        self.assertIsNone(self.configuration.on_peer_revision(1.0, "b", 2, b"x"))
        self.assertIsNone(self.configuration.on_peer_revision(1.0, "b", 3, digest))

    def test_two_documents_of_one_revision_violate_an_invariant(self):
        invariants = Invariants()
        configuration = Configuration(invariants)
        configuration.on_revision(0.0, Revision(3, document_text()))
        configuration.on_peer_revision(1.0, "b", 3, b"\0" * 8)
        self.assertEqual(1, invariants.violations_by_name["one document for each revision"])
