"""Callers whose requests are malformed, slow or too large.

Each must get a refusal that says what is wrong, and no other caller may be affected.
"""

from __future__ import annotations

import asyncio
import contextlib

import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sycamorebay.protocol.request_head import find_head_fault
from sycamorebay.settings import CallerLimits
from tests.one_entry import OneEntry, ReceivedRequest, answer_ok, eventually, on_uvloop, one_entry

HOST_HEADER = b"host: desk.test\r\n"
VALID_REQUEST = b"GET /prices/1 HTTP/1.1\r\nhost: desk.test\r\n\r\n"
CHUNKED_POST_HEAD = b"POST /bids HTTP/1.1\r\nhost: desk.test\r\ntransfer-encoding: chunked\r\n\r\n"
CLOSE_HEADER = b"connection: close\r\n"
CHUNKED_HEADER = b"transfer-encoding: chunked\r\n"
CONTENT_LENGTH_HEADER = b"content-length: 5\r\n"
SHORT_LIMITS = CallerLimits(head_s=0.3, body_s=0.3, idle_s=1.0, linger_s=0.3)


def get(target: bytes = b"/prices", headers: bytes = HOST_HEADER, version: bytes = b"1.1") -> bytes:
    return b"GET " + target + b" HTTP/" + version + b"\r\n" + headers + b"\r\n"


def post(headers: bytes, body: bytes = b"") -> bytes:
    return b"POST /bids HTTP/1.1\r\n" + HOST_HEADER + headers + b"\r\n" + body


REFUSED_INPUTS = {
    "no request": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    "another protocol": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
    "old version": (get(version=b"1.0"), 505),
    "no version": (b"GET /prices\r\n\r\n", 505),
    "unknown version": (get(version=b"1.7"), 400),
    "no host": (get(headers=b""), 400),
    "two hosts": (get(headers=HOST_HEADER + HOST_HEADER), 400),
    "empty host": (get(headers=b"host:\r\n"), 400),
    "host with a path": (get(headers=b"host: desk.test/x\r\n"), 400),
    "host with a user": (get(headers=b"host: a@desk.test\r\n"), 400),
    "unknown host": (get(headers=b"host: no.test\r\nconnection: close\r\n"), 404),
    "host that differs from the target": (get(b"http://other.test/prices"), 400),
    "authority form": (get(b"desk.test:80"), 400),
    "tunnel": (b"CONNECT desk.test:80 HTTP/1.1\r\nhost: desk.test:80\r\n\r\n", 501),
    "asterisk form": (b"OPTIONS * HTTP/1.1\r\n" + HOST_HEADER + b"\r\n", 400),
    "fragment": (get(b"/prices#a"), 400),
    "dot segments": (get(b"/prices/../bids"), 400),
    "encoded dot segments": (get(b"/prices/%2e%2E/bids"), 400),
    "encoded slashes": (get(b"/prices%2f..%2fbids"), 400),
    "encoded NUL": (get(b"/prices%00"), 400),
    "bytes beyond ASCII": (get(b"/prices\xff"), 400),
    "long target": (get(b"/" + b"a" * 10_000), 414),
    "long header": (get(headers=HOST_HEADER + b"x-a: " + b"a" * 40_000 + b"\r\n"), 431),
    "many headers": (get(headers=HOST_HEADER + b"x-a: 1\r\n" * 101), 431),
    "space before the colon": (get(headers=b"host : desk.test\r\n"), 400),
    "folded header": (get(headers=HOST_HEADER + b"x-a: a\r\n b\r\n"), 400),
    "bare line feed": (get(headers=HOST_HEADER + b"x-a: a\nx-b: b\r\n"), 400),
    "bare carriage return": (get(headers=HOST_HEADER + b"x-a: a\rx-b: b\r\n"), 400),
    "NUL in a header": (get(headers=HOST_HEADER + b"x-a: a\0b\r\n"), 400),
    "header without a name": (get(headers=HOST_HEADER + b": a\r\n"), 400),
    "both lengths": (
        post(b"content-length: 5\r\ntransfer-encoding: chunked\r\n", b"0\r\n\r\n"),
        400,
    ),
    "both lengths in reverse order": (
        post(b"transfer-encoding: chunked\r\ncontent-length: 5\r\n", b"0\r\n\r\n"),
        400,
    ),
    "two lengths": (post(b"content-length: 3\r\ncontent-length: 3\r\n", b"abc"), 400),
    "list of lengths": (post(b"content-length: 3, 3\r\n", b"abc"), 400),
    "signed length": (post(b"content-length: +3\r\n", b"abc"), 400),
    "negative length": (post(b"content-length: -3\r\n", b"abc"), 400),
    "huge length": (post(b"content-length: 99999999999999999999999\r\n"), 400),
    "chunked twice": (post(b"transfer-encoding: chunked, chunked\r\n", b"0\r\n\r\n"), 400),
    "chunked not last": (post(b"transfer-encoding: chunked, identity\r\n", b"0\r\n\r\n"), 400),
    "compressed chunks": (post(b"transfer-encoding: gzip, chunked\r\n", b"0\r\n\r\n"), 501),
    "unknown coding": (post(b"transfer-encoding: xchunked\r\n", b"0\r\n\r\n"), 501),
    "chunk size of letters": (CHUNKED_POST_HEAD + b"zz\r\n", 400),
    "signed chunk size": (CHUNKED_POST_HEAD + b"+3\r\nabc\r\n0\r\n\r\n", 400),
    "chunk longer than its size": (CHUNKED_POST_HEAD + b"3\r\nabcd\r\n0\r\n\r\n", 400),
    "chunk ends in a line feed": (CHUNKED_POST_HEAD + b"3\nabc\n0\n\n", 400),
    "huge chunk size": (CHUNKED_POST_HEAD + b"fffffffffffffffffff\r\n", 400),
    "long trailer": (CHUNKED_POST_HEAD + b"0\r\nx-a: " + b"a" * 100_000, 400),
    "many trailers": (CHUNKED_POST_HEAD + b"0\r\n" + b"x-a: 1\r\n" * 10_000, 400),
    "long chunk extension": (CHUNKED_POST_HEAD + b"1;a=" + b"a" * 100_000, 400),
    "length in a trailer": (CHUNKED_POST_HEAD + b"0\r\ncontent-length: 9\r\n\r\n", 400),
    "upgrade": (get(headers=HOST_HEADER + b"connection: upgrade\r\nupgrade: websocket\r\n"), 501),
    "unknown expectation": (post(b"expect: miracles\r\ncontent-length: 3\r\n", b"abc"), 417),
}


def status_of(raw: bytes) -> int:
    return int(raw.split(b" ", 2)[1]) if raw.startswith(b"HTTP/1.1 ") else 0


class BadInputTest(testtools.TestCase):
    async def assert_still_serves(self, entry: OneEntry) -> None:
        response = await entry.get("/prices/1")
        self.assertTrue(response.endswith(b"\r\n\r\nok"), response)
        self.assertEqual(0, entry.in_flight)

    @on_uvloop
    async def test_invalid_input_is_refused_at_once_and_reaches_no_backend_server(self):
        async with one_entry(answer_ok) as entry:
            for name, (raw, expected) in REFUSED_INPUTS.items():
                async with asyncio.timeout(5):
                    response = await entry.send_raw(raw)
                self.assertEqual(expected, status_of(response), (name, response))
                self.assertIn(b"sycamorebay-outcome: ", response, name)
                self.assertIn(b"application/problem+json", response, name)
            self.assertEqual([], entry.backends[0].requests)
            await self.assert_still_serves(entry)

    @on_uvloop
    async def test_absolute_form_is_served(self):
        async with one_entry(answer_ok) as entry:
            response = await entry.send_raw(
                get(b"http://desk.test/prices/1?a", HOST_HEADER + CLOSE_HEADER)
            )
            self.assertEqual(200, status_of(response))
            self.assertEqual("/prices/1?a", entry.backends[0].requests[0].target)

    @on_uvloop
    async def test_trailers_do_not_become_headers(self):
        async with one_entry(answer_ok) as entry:
            raw = (
                CHUNKED_POST_HEAD
                + b"3\r\nabc\r\n0\r\nhost: evil.test\r\nx-request-id: evil\r\n\r\n"
            )
            _, writer = await entry.connect()
            writer.write(raw)
            self.assertTrue(await eventually(lambda: len(entry.backends[0].requests) == 1))
            self.assertNotIn(b"evil", entry.backends[0].requests[0].head)
            writer.close()

    @on_uvloop
    async def test_endless_heads_are_refused_while_they_arrive(self):
        for endless in (b"x-a: 1\r\n", b"a" * 100, b"\r\n"):
            async with one_entry(answer_ok) as entry:
                reader, writer = await entry.connect()
                writer.write(b"" if endless == b"\r\n" else b"GET /prices HTTP/1.1\r\n")
                for _ in range(400_000 // len(endless)):
                    writer.write(endless)
                self.assertEqual(431, status_of(await reader.read()), endless)
                writer.close()

    @on_uvloop
    async def test_pipelined_requests_are_answered_in_order(self):
        async with one_entry(answer_ok) as entry:
            raw = b"".join(get(b"/prices/%d" % number) for number in range(3))
            response = await entry.send_raw(raw + get(b"/prices/3", HOST_HEADER + CLOSE_HEADER))
            self.assertEqual(4, response.count(b"HTTP/1.1 200 OK"))
            expected = [f"/prices/{number}" for number in range(4)]
            self.assertEqual(expected, [request.target for request in entry.backends[0].requests])

    @on_uvloop
    async def test_invalid_input_after_a_request_is_refused_after_its_answer(self):
        async def slow(request: ReceivedRequest) -> None:
            await asyncio.sleep(0.1)
            await answer_ok(request)

        async with one_entry(slow) as entry:
            for invalid in (b"garbage\r\n\r\n", get(headers=b""), CHUNKED_POST_HEAD + b"zz\r\n"):
                response = await entry.send_raw(VALID_REQUEST + invalid)
                first, _, second = response.partition(b"\r\n\r\nok")
                self.assertEqual((200, 400), (status_of(first), status_of(second)), response)
            self.assertEqual(3, len(entry.backends[0].requests))

    @on_uvloop
    async def test_too_many_pipelined_requests_are_refused(self):
        async with one_entry(answer_ok) as entry:
            response = await entry.send_raw(VALID_REQUEST * 100)
            self.assertEqual(
                (17, 1), (response.count(b"HTTP/1.1 200"), response.count(b"HTTP/1.1 429"))
            )

    @on_uvloop
    async def test_data_after_a_last_request_is_not_a_request(self):
        async with one_entry(answer_ok) as entry:
            response = await entry.send_raw(get(headers=HOST_HEADER + CLOSE_HEADER) + VALID_REQUEST)
            self.assertEqual(1, response.count(b"HTTP/1.1 200"))
            self.assertEqual(1, len(entry.backends[0].requests))

    @on_uvloop
    async def test_slow_heads_and_bodies_are_refused_in_time(self):
        slow = {
            b"GET /prices HTTP/1.1\r\nhost: d": b"not-run",
            b"POST /bids HTTP/1.1\r\nhost: desk.test\r\ncontent-length: 9\r\n\r\nabc": b"not-run",
            CHUNKED_POST_HEAD + b"3\r\nabc\r\n": b"unknown",
        }
        async with one_entry(answer_ok, limits=SHORT_LIMITS) as entry:
            for raw, outcome in slow.items():
                async with asyncio.timeout(5):
                    reader, writer = await entry.connect()
                    writer.write(raw)
                    response = await reader.readuntil(b"}")
                    self.assertEqual(408, status_of(response), (raw, response))
                    self.assertIn(b"sycamorebay-outcome: " + outcome, response, raw)
                    writer.close()
            self.assertTrue(await eventually(lambda: entry.backends[0].open == 0))
            await self.assert_still_serves(entry)

    @on_uvloop
    async def test_a_head_within_the_limit_is_taken_in_segments_of_any_size(self):
        limits = CallerLimits(head_bytes=4096)
        headers = HOST_HEADER + b"".join(b"x-%d: %s\r\n" % (n, b"a" * 90) for n in range(36))
        head = b"GET /prices HTTP/1.1\r\n" + headers + b"\r\n"
        self.assertLess(len(head), 4096)
        for size in (7, 50, 104, 1000):
            async with one_entry(answer_ok, limits=limits) as entry, asyncio.timeout(5):
                reader, writer = await entry.connect()
                for start in range(0, len(head), size):
                    writer.write(head[start : start + size])
                    await asyncio.sleep(0.001)
                self.assertEqual(200, status_of(await reader.readuntil(b"\r\n\r\n")), size)
                writer.close()

    @on_uvloop
    async def test_a_slowly_sent_head_is_refused_in_time(self):
        limits = CallerLimits(head_s=0.3, idle_s=60.0)
        async with one_entry(answer_ok, limits=limits) as entry, asyncio.timeout(5):
            reader, writer = await entry.connect()
            sending = asyncio.create_task(
                _send_slowly(writer, b"GET /prices HTTP/1.1\r\n" + b"x-a: 1\r\n" * 99)
            )
            self.assertEqual(408, status_of(await reader.read()))
            sending.cancel()
            writer.close()

    @on_uvloop
    async def test_empty_lines_do_not_keep_a_connection_open(self):
        limits = CallerLimits(head_s=0.3, idle_s=60.0)
        async with one_entry(answer_ok, limits=limits) as entry, asyncio.timeout(5):
            reader, writer = await entry.connect()
            sending = asyncio.create_task(_send_slowly(writer, b"\r\n" * 500))
            received = b""
            # A byte that is unread as the entry closes makes the kernel reset the connection.
            with contextlib.suppress(ConnectionResetError):
                received = await reader.read()
            self.assertEqual(b"", received)
            self.assertTrue(reader.at_eof() or reader.exception() is not None)
            sending.cancel()
            writer.close()

    @on_uvloop
    async def test_idle_connections_are_closed(self):
        async with one_entry(answer_ok, limits=SHORT_LIMITS) as entry, asyncio.timeout(5):
            await asyncio.gather(*(entry.send_raw(raw) for raw in (b"", b"\r\n", VALID_REQUEST)))

    @on_uvloop
    async def test_a_caller_that_half_closes_early_leaves_nothing_behind(self):
        async with one_entry(answer_ok) as entry:
            for raw in (
                b"",
                b"GET /pri",
                b"POST /bids HTTP/1.1\r\n" + HOST_HEADER,
                CHUNKED_POST_HEAD + b"3\r\nab",
            ):
                reader, writer = await entry.connect()
                writer.write(raw)
                writer.write_eof()
                await reader.read()
                writer.close()
            self.assertTrue(await eventually(lambda: entry.forwarder.in_flight == 0))
            await self.assert_still_serves(entry)

    @on_uvloop
    async def test_a_malformed_chunk_in_a_long_body_cancels_its_request(self):
        async with one_entry(answer_ok) as entry:
            reader, writer = await entry.connect()
            writer.write(CHUNKED_POST_HEAD + b"3\r\nabc\r\n")
            self.assertTrue(await eventually(lambda: len(entry.backends[0].requests) == 1))
            writer.write(b"zz\r\n")
            response = await reader.read()
            self.assertEqual(400, status_of(response))
            self.assertIn(b"sycamorebay-outcome: unknown", response)
            self.assertTrue(await eventually(lambda: entry.backends[0].open == 0))
            self.assertEqual(0, entry.in_flight)
            writer.close()


async def _send_slowly(writer: asyncio.StreamWriter, raw: bytes) -> None:
    for byte in raw:
        writer.write(bytes([byte]))
        await asyncio.sleep(0.01)


_FRAGMENTS = st.sampled_from(
    [
        *(raw for raw, _ in REFUSED_INPUTS.values()),
        VALID_REQUEST,
        CHUNKED_POST_HEAD,
        b"\r\n",
        b"\n",
        b"\0",
        b"0\r\n\r\n",
        b"content-length: 5\r\n",
        b"transfer-encoding: chunked\r\n",
        b"connection: close\r\n",
        HOST_HEADER,
    ]
)


@st.composite
def mutated(draw: st.DrawFn) -> bytes:
    """Draw a request, or a few, with some bytes changed."""
    raw = bytearray(b"".join(draw(st.lists(_FRAGMENTS | st.binary(max_size=40), max_size=6))))
    for _ in range(draw(st.integers(0, 4))):
        if raw:
            raw[draw(st.integers(0, len(raw) - 1))] = draw(st.integers(0, 255))
    return bytes(raw)


class RandomInputTest(testtools.TestCase):
    @on_uvloop
    async def test_random_input_does_not_affect_other_callers(self):
        async def echo(request: ReceivedRequest) -> None:
            await request.body()
            body = (request.header("x-echo") or "").encode()
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
            request.writer.write(head.encode() + body)

        drawn: list[bytes] = []

        @settings(max_examples=300, derandomize=True, database=None, deadline=None)
        @given(mutated())
        def draw(raw: bytes) -> None:
            drawn.append(raw)

        draw()
        limits = CallerLimits(head_s=0.2, body_s=0.2, idle_s=1.0, linger_s=0.1)
        async with one_entry(echo, limits=limits) as entry:
            for start in range(0, len(drawn), 50):
                senders = [
                    asyncio.create_task(_send(entry, raw)) for raw in drawn[start : start + 50]
                ]
                for number in range(20):
                    response = await entry.get("/prices", headers=f"x-echo: {start}-{number}\r\n")
                    self.assertTrue(
                        response.endswith(f"\r\n\r\n{start}-{number}".encode()), response
                    )
                await asyncio.gather(*senders)
            self.assertTrue(await eventually(lambda: entry.in_flight == 0))
            self.assertEqual(0, entry.forwarder.in_flight)

    @settings(
        max_examples=300,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.binary(max_size=20),
        st.binary(max_size=60),
        st.sampled_from(["1.1", "1.0", "2.0"]),
        st.lists(st.tuples(st.sampled_from([b"host", b"te", b"expect"]), st.binary()), max_size=4),
    )
    def test_the_head_check_names_a_fault_or_lets_one_host_pass(
        self, method, target, version, headers
    ):
        fault = find_head_fault(method, target, version, headers)
        hosts = [value for name, value in headers if name == b"host"]
        if fault is None:
            self.assertEqual(1, len(hosts))
        else:
            self.assertIn(fault.status, (400, 414, 417, 431, 501, 505))


async def _send(entry: OneEntry, raw: bytes) -> None:
    reader, writer = await entry.connect()
    writer.write(raw)
    try:
        async with asyncio.timeout(0.5):
            await reader.read()
    except (OSError, TimeoutError):
        pass
    finally:
        writer.close()
