from __future__ import annotations

import testtools

from sycamorebay.coordination.configuration import Configuration, Fetch, Revision
from sycamorebay.coordination.freshness import Freshness
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.messages import Refuse, Request, Send
from sycamorebay.settings import FreshnessSettings
from tests.support import dispatcher, document_text

LIMITS = FreshnessSettings()


def run(freshness: Freshness, start: float, end: float) -> None:
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

    def test_serves_nothing_without_a_document(self):
        self.assertIn("no configuration", Freshness(0.0, LIMITS).refusal_reason(0.1))

    def test_a_fresh_entry_waits_for_every_peer_but_not_for_ever(self):
        freshness = Freshness(0.0, LIMITS)
        freshness.on_in_force(0.1, 1)
        freshness.on_store(0.2, 0.1)
        freshness.on_heartbeat_round(0.2, ["b", "c"])
        freshness.on_peer(0.3, "b", 0.1)
        self.assertNotEqual("", freshness.refusal_reason(0.4))
        run(freshness, 0.4, LIMITS.settle_s)
        self.assertEqual("", freshness.refusal_reason(LIMITS.settle_s))

    def test_a_fresh_entry_that_nobody_answers_serves_nothing(self):
        freshness = Freshness(0.0, LIMITS)
        freshness.on_in_force(0.1, 1)
        freshness.on_heartbeat_round(0.1, ["b"])
        run(freshness, 0.1, 30.0)
        self.assertNotEqual("", freshness.refusal_reason(30.0))

    def test_a_fresh_entry_does_not_serve_by_an_older_revision_than_a_peer_has(self):
        freshness = Freshness(0.0, LIMITS)
        freshness.on_in_force(0.1, 1)
        freshness.on_store(0.2, 0.1)
        freshness.on_heartbeat_round(0.2, ["b"])
        freshness.on_known(0.3, 2)
        freshness.on_peer(0.3, "b", 0.1)
        run(freshness, 0.3, 5.0)
        self.assertNotEqual("", freshness.refusal_reason(5.0))
        freshness.on_in_force(5.0, 2)
        self.assertEqual("", freshness.refusal_reason(5.0))

    def test_the_stores_first_answer_is_followed_by_a_round_to_the_peers_that_it_names(self):
        freshness = Freshness(0.0, LIMITS)
        freshness.on_heartbeat_round(0.1, [])
        freshness.on_in_force(0.2, 1)
        freshness.on_store(0.2, 0.1)
        self.assertNotEqual("", freshness.refusal_reason(0.2))
        freshness.on_heartbeat_round(0.3, ["b"])
        self.assertNotEqual("", freshness.refusal_reason(0.3))
        freshness.on_peer(0.4, "b", 0.3)
        self.assertEqual("", freshness.refusal_reason(0.4))

    def test_an_entry_that_wakes_asks_before_it_serves(self):
        freshness = self.settled("b")
        woken = 0.2 + LIMITS.pause_s + 0.1
        self.assertNotEqual("", freshness.refusal_reason(woken))
        freshness.on_peer(woken, "b", asked_at=0.2)
        freshness.on_store(woken, asked_at=0.2)
        self.assertNotEqual("", freshness.refusal_reason(woken))
        freshness.on_heartbeat_round(woken, ["b"])
        freshness.on_peer(woken + 0.1, "b", asked_at=woken)
        self.assertEqual("", freshness.refusal_reason(woken + 0.1))

    def test_an_entry_cut_off_from_all_stops(self):
        freshness = self.settled("b")
        run(freshness, 0.2, LIMITS.isolated_s)
        self.assertEqual("", freshness.refusal_reason(LIMITS.isolated_s))
        run(freshness, LIMITS.isolated_s, LIMITS.isolated_s + 1)
        self.assertNotEqual("", freshness.refusal_reason(LIMITS.isolated_s + 1))
        freshness.on_peer(LIMITS.isolated_s + 1, "b", LIMITS.isolated_s + 0.9)
        self.assertEqual("", freshness.refusal_reason(LIMITS.isolated_s + 1))

    def test_an_entry_alone_goes_on_through_an_outage(self):
        freshness = self.settled()
        run(freshness, 0.2, 600.0)
        self.assertEqual("", freshness.refusal_reason(600.0))

    def test_an_entry_that_cannot_take_a_newer_revision_stops(self):
        freshness = self.settled("b")
        freshness.on_known(1.0, 2)
        run(freshness, 1.0, 10.0)
        freshness.on_peer(10.0, "b", 9.9)
        self.assertEqual("", freshness.refusal_reason(10.0))
        run(freshness, 10.0, 12.0)
        self.assertIn("newer", freshness.refusal_reason(12.0))
        freshness.on_in_force(12.0, 2)
        self.assertEqual("", freshness.refusal_reason(12.0))

    def test_the_dispatcher_refuses_and_writes_no_byte_while_there_is_an_objection(self):
        decides = dispatcher()
        request = Request(1, "desk.test", "GET", "/prices")
        (send,) = decides.on_request(0.0, request)
        self.assertIsInstance(send, Send)
        decides.refusal_reason = lambda: "not current"
        self.assertFalse(decides.may_send(send.attempt_id))
        (refuse,) = decides.on_request(0.0, Request(2, "desk.test", "GET", "/prices"))
        self.assertIsInstance(refuse, Refuse)
        self.assertEqual(("not-run", "configuration"), (refuse.refusal.tag, refuse.refusal.step))


class FetchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.configuration = Configuration(Invariants(strict=True))
        self.configuration.on_revision(0.0, Revision(3, document_text()))

    def test_a_newer_revision_is_fetched_once_at_a_time(self):
        heard = self.configuration.on_peer_revision
        self.assertEqual(Fetch("b", 3), heard(1.0, "b", 4, b""))
        self.assertIsNone(heard(1.1, "c", 4, b""))
        self.configuration.on_fetch_ended(1.2)
        self.assertEqual(Fetch("c", 3), heard(1.3, "c", 4, b""))

    def test_a_fetch_that_hangs_holds_back_no_other_for_long(self):
        self.configuration.on_peer_revision(1.0, "b", 4, b"")
        self.assertEqual(Fetch("c", 3), self.configuration.on_peer_revision(7.0, "c", 4, b""))

    def test_an_older_or_the_same_revision_is_not_fetched(self):
        digest = bytes.fromhex(self.configuration.digest)[:8]
        self.assertIsNone(self.configuration.on_peer_revision(1.0, "b", 2, b"x"))
        self.assertIsNone(self.configuration.on_peer_revision(1.0, "b", 3, digest))

    def test_two_documents_of_one_revision_are_noticed(self):
        invariants = Invariants()
        configuration = Configuration(invariants)
        configuration.on_revision(0.0, Revision(3, document_text()))
        configuration.on_peer_revision(1.0, "b", 3, b"\0" * 8)
        self.assertEqual(1, invariants.violations_by_name["one document for each revision"])
