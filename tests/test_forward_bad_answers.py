"""Backend servers whose answers are invalid, too long, malformed, early or shed.

The caller must get a refusal or a reset connection, never bytes of another answer, and the slot
must be freed.
"""

from __future__ import annotations

import asyncio

import testtools

from tests.one_entry import OK, ReceivedRequest, answer, eventually, on_uvloop, one_entry

UNKNOWN_OUTCOME = b"sycamorebay-outcome: unknown"
INVALID_ANSWERS = {
    "not http": b"hello there\r\n\r\n",
    "binary": bytes(range(256)),
    "status out of range": b"HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
    "status of letters": b"HTTP/1.1 abc Odd\r\ncontent-length: 0\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nokk",
    "length and chunks": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
    b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "negative length": b"HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nok",
    "unrequested upgrade": b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    "control character": b"HTTP/1.1 200 OK\r\nx-a: a\x01b\r\ncontent-length: 2\r\n\r\nok",
    "huge header": b"HTTP/1.1 200 OK\r\nx-a: " + b"a" * 100_000 + b"\r\n\r\n",
    "endless headers": b"HTTP/1.1 200 OK\r\n" + b"x-a: 1\r\n" * 10_000,
    "nothing": b"",
}


class BadAnswersTest(testtools.TestCase):
    @on_uvloop
    async def test_an_invalid_answer_is_refused_and_the_next_caller_served(self):
        for name, raw in INVALID_ANSWERS.items():
            remaining = iter([raw])

            async def script(request: ReceivedRequest, remaining=remaining) -> None:
                await request.body()
                request.writer.write(sent := next(remaining, OK))
                if sent is not OK:
                    request.writer.close()

            async with one_entry(script) as entry:
                response = await entry.get("/bids")
                self.assertTrue(response.startswith(b"HTTP/1.1 502 "), (name, response))
                self.assertIn(UNKNOWN_OUTCOME, response, name)
                self.assertNotIn(b"\\n", response, name)
                response = await entry.get("/bids")
                self.assertTrue(response.endswith(b"\r\n\r\nok"), (name, response))
                self.assertTrue(await eventually(lambda: entry.in_flight == 0), name)

    @on_uvloop
    async def test_a_body_longer_than_its_length_never_reaches_another_caller(self):
        async with one_entry(answer(OK, b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nX")) as entry:
            for _ in range(5):
                response = await entry.get("/prices")
                self.assertFalse(response.endswith(b"X"), response)
                await asyncio.sleep(0.02)

    @on_uvloop
    async def test_a_malformed_chunk_in_an_answer_resets_the_caller(self):
        async def malformed_chunk(request: ReceivedRequest) -> None:
            request.writer.write(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await request.writer.drain()
            await asyncio.sleep(0.05)
            request.writer.write(b"zz\r\nabc\r\n0\r\n\r\n")
            await request.reader.read()

        async with one_entry(malformed_chunk) as entry:
            with testtools.ExpectedException(ConnectionResetError):
                async with asyncio.timeout(1):
                    await entry.get("/prices")
            self.assertTrue(await eventually(lambda: entry.in_flight == 0))

    @on_uvloop
    async def test_an_early_answer_reaches_a_caller_that_is_still_sending(self):
        async def answer_early(request: ReceivedRequest) -> None:
            await request.reader.readexactly(70_000)
            request.writer.write(OK.replace(b"200 OK", b"413 Too Large"))
            await request.reader.read()

        async with one_entry(answer_early) as entry:
            reader, writer = await entry.connect()
            head = b"POST /bids HTTP/1.1\r\nhost: desk.test\r\ncontent-length: 1000000\r\n\r\n"
            writer.write(head + b"x" * 100_000)
            response = await reader.readuntil(b"ok")
            self.assertTrue(response.startswith(b"HTTP/1.1 413"), response)
            self.assertTrue(await eventually(lambda: entry.backends[0].open == 0))
            writer.write(b"x" * 900_000)
            writer.write(b"GET /prices HTTP/1.1\r\nhost: no.test\r\nconnection: close\r\n\r\n")
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 404"))
            writer.close()

    @on_uvloop
    async def test_a_shed_answer_to_a_long_body_is_not_run(self):
        async def shed(request: ReceivedRequest) -> None:
            head = b"HTTP/1.1 503 Busy\r\nsycamorebay-outcome: not-run\r\n"
            request.writer.write(head + b"content-length: 0\r\n\r\n")
            await request.reader.read()

        async with one_entry(shed, shed) as entry:
            entry.put_in_force(entry.document(retry_ratio=1))
            head = b"POST /bids HTTP/1.1\r\nhost: desk.test\r\nconnection: close\r\n"
            response = await entry.send_raw(
                head + b"content-length: 100000\r\n\r\n" + b"x" * 100_000
            )
            self.assertIn(b"sycamorebay-outcome: not-run", response)
            self.assertEqual(1, sum(len(backend.requests) for backend in entry.backends))
