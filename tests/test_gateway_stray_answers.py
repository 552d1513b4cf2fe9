"""Tests of second copies of answers on connections that are in use again."""

from __future__ import annotations

import asyncio

import testtools

from standins.scripted import ReceivedRequest, ServerConnection
from tests.gateway_fleet import fleet
from tests.support import asynchronous

# How a server sends a copy of its previous answer before the next one: status and headers.
COPIES = {
    "a success": (200, "Sycamorebay-Server-Sig: s\r\n"),
    "a failure": (500, "Sycamorebay-Server-Sig: s\r\n"),
    "a rejection": (503, "Sycamorebay-Not-Executed: 1\r\n"),
    "another server's rejection": (421, ""),
}


def copy(status: int, headers: str, request_id: str = "") -> bytes:
    """Return an answer to an earlier request, with the length that the real answer has."""
    line = f"Sycamorebay-Request-Id: {request_id}\r\n" if request_id else ""
    return f"HTTP/1.1 {status} X\r\n{headers}{line}Content-Length: 2\r\n\r\nno".encode()


class StrayAnswerTest(testtools.TestCase):
    async def answers(
        self, data: bytes, delay_s: float
    ) -> tuple[list[int], list[bytes], list[str]]:
        """Return statuses, bodies and outcomes of requests that each follow a stray answer."""
        async with fleet(servers=1) as started:
            server = started.servers_by_id["s0"]

            async def answer_after_copy(
                request: ReceivedRequest, connection: ServerConnection
            ) -> None:
                if request.request_id.startswith("next"):
                    connection.write_raw(data)
                    await asyncio.sleep(delay_s)
                connection.answer(request)

            server.script = answer_after_copy
            caller = await started.caller()
            found = []
            for number in range(4):
                load = started.gateways[0]._placer.load("s0")
                load.suspended_until = float("-inf")
                self.assertEqual(200, (await caller.ask(f"first{number}")).status)
                found.append(await caller.ask(f"next{number}", "/unsafe/x", "POST", b"x"))
        outcomes = [answer.headers.get("sycamorebay-outcome", "") for answer in found]
        return [answer.status for answer in found], [answer.body for answer in found], outcomes

    @asynchronous
    async def test_a_copy_without_an_id_is_never_taken_for_the_answer(self):
        for name, (status, headers) in COPIES.items():
            for delay_s in (0.0, 0.02):
                found = await self.answers(copy(status, headers), delay_s)
                self.assertEqual((name, [502] * 4), (name, found[0]))
                self.assertEqual((name, ["unknown"] * 4), (name, found[2]))

    @asynchronous
    async def test_a_copy_with_an_earlier_id_is_dropped_and_the_answer_delivered(self):
        for name, (status, headers) in COPIES.items():
            for delay_s in (0.0, 0.02):
                found = await self.answers(copy(status, headers, "first0"), delay_s)
                self.assertEqual((name, [200] * 4), (name, found[0]))
                self.assertEqual((name, [b"ok"] * 4), (name, found[1]))
