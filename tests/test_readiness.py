"""An entry must not report ready before its listener for callers is open."""

from __future__ import annotations

import testtools

from sycamorebay.settings import Listen, PeerSettings, PlatformSettings, Settings
from sycamorebay.transport.entry.daemon import Daemon
from tests.support import asynchronous

UNUSED_ADDRESS = Listen("127.0.0.1", 1)


class StubListener:
    started = False


class ReadinessTest(testtools.TestCase):
    @asynchronous
    async def test_is_not_ready_before_the_listener_is_open(self):
        platform = PlatformSettings("http://127.0.0.1:1")
        daemon = Daemon(
            Settings(
                "entry-0",
                "a",
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                PeerSettings("127.0.0.1", 1),
                platform,
            )
        )
        daemon._control.refusal_reason = lambda: ""
        self.assertFalse(daemon._status().ready)
        daemon._callers = StubListener()
        self.assertIn("listener", daemon._status().objection)
        daemon._callers.started = True
        self.assertTrue(daemon._status().ready)
