from __future__ import annotations

import testtools

from bench.ideal import shared_queue


class SharedQueueTest(testtools.TestCase):
    def test_a_job_waits_for_the_first_free_slot(self):
        jobs = [(0.0, 2.0), (0.0, 4.0), (1.0, 1.0), (1.5, 1.0)]
        self.assertEqual([2.0, 4.0, 2.0, 2.5], shared_queue(jobs, 2))
