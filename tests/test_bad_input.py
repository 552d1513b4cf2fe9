"""Callers that send badly, slowly or too much: a clear refusal each, and nobody else notices."""

from __future__ import annotations

import asyncio

import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sycamorebay.protocol.request_head import head_fault
from sycamorebay.settings import CallerLimits
from tests.one_entry import Exchange, OneEntry, answer_ok, eventually, on_uvloop, one_entry

HOST = b"host: desk.test\r\n"
GOOD = b"GET /prices/1 HTTP/1.1\r\nhost: desk.test\r\n\r\n"
CHUNKED = b"POST /bids HTTP/1.1\r\nhost: desk.test\r\ntransfer-encoding: chunked\r\n\r\n"
CLOSE = b"connection: close\r\n"
CODING = b"transfer-encoding: chunked\r\n"
LENGTH = b"content-length: 5\r\n"
QUICK = CallerLimits(head_s=0.3, body_s=0.3, idle_s=1.0, linger_s=0.3)


def get(target: bytes = b"/prices", headers: bytes = HOST, version: bytes = b"1.1") -> bytes:
    return b"GET " + target + b" HTTP/" + version + b"\r\n" + headers + b"\r\n"


def post(headers: bytes, body: bytes = b"") -> bytes:
    return b"POST /bids HTTP/1.1\r\n" + HOST + headers + b"\r\n" + body


REFUSED = {
    "no request": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    "another protocol": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
    "old version": (get(version=b"1.0"), 505),
    "no version": (b"GET /prices\r\n\r\n", 505),
    "unknown version": (get(version=b"1.7"), 400),
    "no host": (get(headers=b""), 400),
    "two hosts": (get(headers=HOST + HOST), 400),
    "empty host": (get(headers=b"host:\r\n"), 400),
    "host with a path": (get(headers=b"host: desk.test/x\r\n"), 400),
    "host with a user": (get(headers=b"host: a@desk.test\r\n"), 400),
    "unknown host": (get(headers=b"host: no.test\r\nconnection: close\r\n"), 404),
    "two names for the host": (get(b"http://other.test/prices"), 400),
    "authority form": (get(b"desk.test:80"), 400),
    "tunnel": (b"CONNECT desk.test:80 HTTP/1.1\r\nhost: desk.test:80\r\n\r\n", 501),
    "asterisk form": (b"OPTIONS * HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    "fragment": (get(b"/prices#a"), 400),
    "dot segments": (get(b"/prices/../bids"), 400),
    "hidden dot segments": (get(b"/prices/%2e%2E/bids"), 400),
    "hidden slashes": (get(b"/prices%2f..%2fbids"), 400),
    "hidden NUL": (get(b"/prices%00"), 400),
    "bytes beyond ASCII": (get(b"/prices\xff"), 400),
    "long target": (get(b"/" + b"a" * 10_000), 414),
    "long header": (get(headers=HOST + b"x-a: " + b"a" * 40_000 + b"\r\n"), 431),
    "many headers": (get(headers=HOST + b"x-a: 1\r\n" * 101), 431),
    "space before the colon": (get(headers=b"host : desk.test\r\n"), 400),
    "folded header": (get(headers=HOST + b"x-a: a\r\n b\r\n"), 400),
    "bare line feed": (get(headers=HOST + b"x-a: a\nx-b: b\r\n"), 400),
    "bare carriage return": (get(headers=HOST + b"x-a: a\rx-b: b\r\n"), 400),
    "NUL in a header": (get(headers=HOST + b"x-a: a\0b\r\n"), 400),
    "header without a name": (get(headers=HOST + b": a\r\n"), 400),
    "both lengths": (
        post(b"content-length: 5\r\ntransfer-encoding: chunked\r\n", b"0\r\n\r\n"),
        400,
    ),
    "both, turned": (
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
    "coded chunks": (post(b"transfer-encoding: gzip, chunked\r\n", b"0\r\n\r\n"), 501),
    "unknown coding": (post(b"transfer-encoding: xchunked\r\n", b"0\r\n\r\n"), 501),
    "chunk size of letters": (CHUNKED + b"zz\r\n", 400),
    "signed chunk size": (CHUNKED + b"+3\r\nabc\r\n0\r\n\r\n", 400),
    "chunk longer than its size": (CHUNKED + b"3\r\nabcd\r\n0\r\n\r\n", 400),
    "chunk ends in a line feed": (CHUNKED + b"3\nabc\n0\n\n", 400),
    "huge chunk size": (CHUNKED + b"fffffffffffffffffff\r\n", 400),
    "length in a trailer": (CHUNKED + b"0\r\ncontent-length: 9\r\n\r\n", 400),
    "upgrade": (get(headers=HOST + b"connection: upgrade\r\nupgrade: websocket\r\n"), 501),
    "unknown expectation": (post(b"expect: miracles\r\ncontent-length: 3\r\n", b"abc"), 417),
}


def status(raw: bytes) -> int:
    return int(raw.split(b" ", 2)[1]) if raw.startswith(b"HTTP/1.1 ") else 0


class BadInputTest(testtools.TestCase):
    async def assert_serves(self, entry: OneEntry) -> None:
        got = await entry.get("/prices/1")
        self.assertTrue(got.endswith(b"\r\n\r\nok"), got)
        self.assertEqual(0, entry.in_flight)

    @on_uvloop
    async def test_each_is_refused_at_once_and_reaches_no_backend_server(self):
        async with one_entry(answer_ok) as entry:
            for name, (raw, wanted) in REFUSED.items():
                async with asyncio.timeout(5):
                    got = await entry.ask(raw)
                self.assertEqual(wanted, status(got), (name, got))
                self.assertIn(b"sycamorebay-outcome: ", got, name)
                self.assertIn(b"application/problem+json", got, name)
            self.assertEqual([], entry.backends[0].exchanges)
            await self.assert_serves(entry)

    @on_uvloop
    async def test_absolute_form_is_served(self):
        async with one_entry(answer_ok) as entry:
            got = await entry.ask(get(b"http://desk.test/prices/1?a", HOST + CLOSE))
            self.assertEqual(200, status(got))
            self.assertEqual("/prices/1?a", entry.backends[0].exchanges[0].target)

    @on_uvloop
    async def test_trailers_do_not_become_headers(self):
        async with one_entry(answer_ok) as entry:
            raw = CHUNKED + b"3\r\nabc\r\n0\r\nhost: evil.test\r\nx-request-id: evil\r\n\r\n"
            _, writer = await entry.connect()
            writer.write(raw)
            self.assertTrue(await eventually(lambda: len(entry.backends[0].exchanges) == 1))
            self.assertNotIn(b"evil", entry.backends[0].exchanges[0].head)
            writer.close()

    @on_uvloop
    async def test_endless_heads_are_refused_while_they_come(self):
        for endless in (b"x-a: 1\r\n", b"a" * 100, b"\r\n"):
            async with one_entry(answer_ok) as entry:
                reader, writer = await entry.connect()
                writer.write(b"" if endless == b"\r\n" else b"GET /prices HTTP/1.1\r\n")
                for _ in range(400_000 // len(endless)):
                    writer.write(endless)
                self.assertEqual(431, status(await reader.read()), endless)
                writer.close()

    @on_uvloop
    async def test_pipelined_requests_are_answered_in_turn(self):
        async with one_entry(answer_ok) as entry:
            raw = b"".join(get(b"/prices/%d" % number) for number in range(3))
            got = await entry.ask(raw + get(b"/prices/3", HOST + CLOSE))
            self.assertEqual(4, got.count(b"HTTP/1.1 200 OK"))
            wanted = [f"/prices/{number}" for number in range(4)]
            self.assertEqual(wanted, [made.target for made in entry.backends[0].exchanges])

    @on_uvloop
    async def test_bad_input_behind_a_request_waits_for_its_answer(self):
        async def slow(exchange: Exchange) -> None:
            await asyncio.sleep(0.1)
            await answer_ok(exchange)

        async with one_entry(slow) as entry:
            for bad in (b"garbage\r\n\r\n", get(headers=b""), CHUNKED + b"zz\r\n"):
                got = await entry.ask(GOOD + bad)
                first, _, second = got.partition(b"\r\n\r\nok")
                self.assertEqual((200, 400), (status(first), status(second)), got)
            self.assertEqual(3, len(entry.backends[0].exchanges))

    @on_uvloop
    async def test_too_many_pipelined_requests_are_refused(self):
        async with one_entry(answer_ok) as entry:
            got = await entry.ask(GOOD * 100)
            self.assertEqual((17, 1), (got.count(b"HTTP/1.1 200"), got.count(b"HTTP/1.1 429")))

    @on_uvloop
    async def test_data_after_a_last_request_is_not_a_request(self):
        async with one_entry(answer_ok) as entry:
            got = await entry.ask(get(headers=HOST + CLOSE) + GOOD)
            self.assertEqual(1, got.count(b"HTTP/1.1 200"))
            self.assertEqual(1, len(entry.backends[0].exchanges))

    @on_uvloop
    async def test_slow_heads_and_bodies_are_refused_in_time(self):
        slow = {
            b"GET /prices HTTP/1.1\r\nhost: d": b"not-run",
            b"POST /bids HTTP/1.1\r\nhost: desk.test\r\ncontent-length: 9\r\n\r\nabc": b"not-run",
            CHUNKED + b"3\r\nabc\r\n": b"unknown",
        }
        async with one_entry(answer_ok, limits=QUICK) as entry:
            for raw, outcome in slow.items():
                async with asyncio.timeout(5):
                    reader, writer = await entry.connect()
                    writer.write(raw)
                    got = await reader.readuntil(b"}")
                    self.assertEqual(408, status(got), (raw, got))
                    self.assertIn(b"sycamorebay-outcome: " + outcome, got, raw)
                    writer.close()
            self.assertTrue(await eventually(lambda: entry.backends[0].open == 0))
            await self.assert_serves(entry)

    @on_uvloop
    async def test_a_head_that_drips_is_refused_in_time(self):
        limits = CallerLimits(head_s=0.3, idle_s=60.0)
        async with one_entry(answer_ok, limits=limits) as entry, asyncio.timeout(5):
            reader, writer = await entry.connect()
            drip = asyncio.create_task(
                _drip(writer, b"GET /prices HTTP/1.1\r\n" + b"x-a: 1\r\n" * 99)
            )
            self.assertEqual(408, status(await reader.read()))
            drip.cancel()
            writer.close()

    @on_uvloop
    async def test_empty_lines_do_not_keep_a_connection(self):
        limits = CallerLimits(head_s=0.3, idle_s=60.0)
        async with one_entry(answer_ok, limits=limits) as entry, asyncio.timeout(5):
            reader, writer = await entry.connect()
            drip = asyncio.create_task(_drip(writer, b"\r\n" * 500))
            self.assertEqual(b"", await reader.read())
            drip.cancel()
            writer.close()

    @on_uvloop
    async def test_silent_connections_end(self):
        async with one_entry(answer_ok, limits=QUICK) as entry, asyncio.timeout(5):
            await asyncio.gather(*(entry.ask(raw) for raw in (b"", b"\r\n", GOOD)))

    @on_uvloop
    async def test_a_caller_that_closes_its_half_in_the_middle_leaves_nothing(self):
        async with one_entry(answer_ok) as entry:
            for raw in (b"", b"GET /pri", b"POST /bids HTTP/1.1\r\n" + HOST, CHUNKED + b"3\r\nab"):
                reader, writer = await entry.connect()
                writer.write(raw)
                writer.write_eof()
                await reader.read()
                writer.close()
            self.assertTrue(await eventually(lambda: entry.forwarder.in_flight == 0))
            await self.assert_serves(entry)

    @on_uvloop
    async def test_a_bad_chunk_in_a_long_body_cancels_its_request(self):
        async with one_entry(answer_ok) as entry:
            reader, writer = await entry.connect()
            writer.write(CHUNKED + b"3\r\nabc\r\n")
            self.assertTrue(await eventually(lambda: len(entry.backends[0].exchanges) == 1))
            writer.write(b"zz\r\n")
            got = await reader.read()
            self.assertEqual(400, status(got))
            self.assertIn(b"sycamorebay-outcome: unknown", got)
            self.assertTrue(await eventually(lambda: entry.backends[0].open == 0))
            self.assertEqual(0, entry.in_flight)
            writer.close()


async def _drip(writer: asyncio.StreamWriter, raw: bytes) -> None:
    for byte in raw:
        writer.write(bytes([byte]))
        await asyncio.sleep(0.01)


_TOKENS = st.sampled_from(
    [
        *(raw for raw, _ in REFUSED.values()),
        GOOD,
        CHUNKED,
        b"\r\n",
        b"\n",
        b"\0",
        b"0\r\n\r\n",
        b"content-length: 5\r\n",
        b"transfer-encoding: chunked\r\n",
        b"connection: close\r\n",
        HOST,
    ]
)


@st.composite
def mutated(draw: st.DrawFn) -> bytes:
    """Draw a request, or a few, with some bytes changed."""
    raw = bytearray(b"".join(draw(st.lists(_TOKENS | st.binary(max_size=40), max_size=6))))
    for _ in range(draw(st.integers(0, 4))):
        if raw:
            raw[draw(st.integers(0, len(raw) - 1))] = draw(st.integers(0, 255))
    return bytes(raw)


class RandomInputTest(testtools.TestCase):
    @on_uvloop
    async def test_random_bytes_disturb_no_other_caller(self):
        async def echo(exchange: Exchange) -> None:
            await exchange.body()
            body = (exchange.header("x-echo") or "").encode()
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
            exchange.writer.write(head.encode() + body)

        drawn: list[bytes] = []

        @settings(max_examples=300, derandomize=True, database=None, deadline=None)
        @given(mutated())
        def draw(raw: bytes) -> None:
            drawn.append(raw)

        draw()
        limits = CallerLimits(head_s=0.2, body_s=0.2, idle_s=1.0, linger_s=0.1)
        async with one_entry(echo, limits=limits) as entry:
            for start in range(0, len(drawn), 50):
                bad = [asyncio.create_task(_send(entry, raw)) for raw in drawn[start : start + 50]]
                for number in range(20):
                    got = await entry.get("/prices", headers=f"x-echo: {start}-{number}\r\n")
                    self.assertTrue(got.endswith(f"\r\n\r\n{start}-{number}".encode()), got)
                await asyncio.gather(*bad)
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
        fault = head_fault(method, target, version, headers)
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
