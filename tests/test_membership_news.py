from __future__ import annotations

import testtools

from sycamorebay.coordination.news import MAX_NEWS, NEWS_LIFE_S, LeavingNews, News


class LeavingNewsTest(testtools.TestCase):
    def test_told_news_keeps_its_age_and_dies_out(self):
        first, second = LeavingNews(), LeavingNews()
        self.assertTrue(first.on_seen(0.0, ["s"]))
        self.assertFalse(first.on_seen(0.125, ["s"]))
        told = second.on_told(1.125, first.outgoing(1.125))
        self.assertEqual(({"s": 0.125}, True), (told.seen_at_by_id, told.new))
        self.assertEqual({}, first.on_told(2.125, second.outgoing(2.125)).seen_at_by_id)
        self.assertEqual([News("s", 2.0)], second.outgoing(2.125))
        self.assertEqual([], second.outgoing(0.125 + NEWS_LIFE_S))
        self.assertEqual({}, second.on_told(9.0, [News("s", NEWS_LIFE_S)]).seen_at_by_id)

    def test_what_goes_out_is_bounded(self):
        news = LeavingNews()
        news.on_seen(0.0, [f"s{n}" for n in range(MAX_NEWS)])
        news.on_seen(1.0, ["young"])
        outgoing = news.outgoing(1.0)
        self.assertEqual(MAX_NEWS, len(outgoing))
        self.assertEqual(News("young", 0.0), outgoing[0])

    def test_news_beyond_the_bound_is_new_only_once(self):
        news = LeavingNews()
        news.on_seen(1.0, [f"s{n}" for n in range(MAX_NEWS)])
        self.assertTrue(news.on_told(1.0, [News("old", 1.0)]).new)
        self.assertNotIn("old", {one.server_id for one in news.outgoing(1.0)})
        self.assertFalse(news.on_told(1.5, [News("old", 1.0)]).new)
