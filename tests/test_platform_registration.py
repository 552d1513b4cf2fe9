"""An entry's registration and report, and its retries in an outage, with a store in memory."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import testtools

from sycamorebay import log
from sycamorebay.coordination.configuration import Configuration
from sycamorebay.coordination.membership import Member
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.keys import members_prefix
from sycamorebay.protocol.reports import decode_report, report_key
from sycamorebay.settings import LogSettings
from sycamorebay.transport.configuration.registration import Registration
from tests.fake_store import FakeStore
from tests.support import asynchronous

log.configure(LogSettings(level="critical"))

OWN = Member("entry-0", 7, "127.0.0.1:7000", "a")


@attrs.frozen
class Platform:
    lease_s: int = 10


@attrs.frozen
class Settings:
    environment: str = "p"
    platform: Platform = attrs.field(factory=Platform)


class FakeRevisionInForce:
    def __init__(self) -> None:
        self.configuration = Configuration()
        self.changed = asyncio.Event()


class DownStore(FakeStore):
    calls = 0

    async def read(self, key: str):
        self.calls += 1
        raise PlatformError("down", step="read")


class RegistrationTest(testtools.TestCase):
    @asynchronous
    async def test_retries_back_off_in_an_outage_when_a_revision_came_from_a_peer(self):
        store, in_force = DownStore(), FakeRevisionInForce()
        in_force.changed.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await Registration(Settings(), store, OWN, in_force).run()
        self.assertGreater(store.calls, 0)
        self.assertLess(store.calls, 100)

    @asynchronous
    async def test_registers_and_reports_under_its_lease(self):
        store, in_force = FakeStore(), FakeRevisionInForce()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await Registration(Settings(), store, OWN, in_force).run()
        self.assertIn(members_prefix("p") + OWN.id, store.values)
        report = decode_report(store.values[report_key("p", OWN.id)].value)
        self.assertEqual((OWN.id, 7, 0), (report.member_id, report.incarnation, report.revision))
