"""What travels past an entry and what does not."""

from __future__ import annotations

import testtools

from sycamorebay.protocol.headers import answer_headers, request_headers
from tests.one_entry import OK, Exchange, answer, answer_ok, on_uvloop, one_entry


class HeadersTest(testtools.TestCase):
    def test_forwarding_headers_are_appended(self):
        given = [
            ("host", "desk.test"),
            ("x-forwarded-for", "192.0.2.1"),
            ("x-forwarded-for", "192.0.2.2"),
            ("via", "1.0 outer"),
            ("x-forwarded-proto", "https"),
        ]
        made = dict(request_headers(given, "192.0.2.3", "id-1"))
        self.assertEqual("192.0.2.1, 192.0.2.2, 192.0.2.3", made["x-forwarded-for"])
        self.assertEqual("1.0 outer, 1.1 sycamorebay", made["via"])
        self.assertEqual("https", made["x-forwarded-proto"])
        self.assertEqual(("desk.test", "desk.test"), (made["host"], made["x-forwarded-host"]))
        self.assertEqual("id-1", made["x-request-id"])

    def test_hop_by_hop_headers_end_here(self):
        given = [
            ("connection", "x-mine, close"),
            ("x-mine", "1"),
            ("keep-alive", "5"),
            ("te", "trailers"),
            ("transfer-encoding", "chunked"),
            ("x-kept", "1"),
        ]
        names = {name for name, _ in answer_headers(given, 200, "id-1")}
        self.assertEqual({"x-kept", "x-request-id"}, names)
        self.assertNotIn("x-mine", dict(request_headers(given, "", "id-1")))

    def test_a_caller_cannot_strip_what_the_entry_relies_on(self):
        given = [("connection", "host, idempotency-key"), ("host", "a"), ("idempotency-key", "k")]
        made = dict(request_headers(given, "", "id-1"))
        self.assertEqual(("a", "k"), (made["host"], made["idempotency-key"]))

    @on_uvloop
    async def test_target_and_values_travel_untouched(self):
        target = "/prices/%2F;a=b//c?q=%20a+b&%E9=[x]|"
        async with one_entry(answer_ok) as entry:
            await entry.get(
                target, headers="x-name: caf\xe9\r\ncookie: a=1\r\nx-a: 1\r\nx-a: 2\r\n"
            )
            exchange = entry.backends[0].exchanges[0]
            self.assertEqual(target, exchange.target)
            self.assertIn(b"x-name: caf\xe9\r\n", exchange.head)
            self.assertEqual(["1", "2"], [v for name, v in exchange.headers if name == "x-a"])
            for name in ("user-agent", "accept", "accept-encoding", "content-length", "connection"):
                self.assertIsNone(exchange.header(name), name)

    @on_uvloop
    async def test_the_caller_is_who_connected_whatever_it_says(self):
        async with one_entry(answer_ok) as entry:
            await entry.get("/prices", headers="x-forwarded-for: 192.0.2.1\r\n")
            made = entry.backends[0].exchanges[0]
        self.assertEqual("192.0.2.1, 127.0.0.1", made.header("x-forwarded-for"))

    @on_uvloop
    async def test_the_request_id_reaches_server_and_caller(self):
        async with one_entry(answer_ok) as entry:
            got = await entry.get("/prices", headers="x-request-id: mine-7\r\n")
            self.assertIn(b"x-request-id: mine-7\r\n", got)
            self.assertEqual("mine-7", entry.backends[0].exchanges[0].header("x-request-id"))
            for headers in ("", "x-request-id: \xff\r\n", f"x-request-id: {'a' * 200}\r\n"):
                got = await entry.get("/prices", headers=headers)
                made = entry.backends[0].exchanges[-1].header("x-request-id")
                self.assertRegex(made, "^[0-9a-f]{12}-[0-9]+$")
                self.assertIn(made.encode(), got)

    @on_uvloop
    async def test_repeated_headers_of_an_answer_stay_apart(self):
        head = b"HTTP/1.1 200 OK\r\nset-cookie: a=1\r\nset-cookie: b=2\r\nx-a: 1\r\nx-a: 2\r\n"
        async with one_entry(answer(head + b"content-length: 2\r\n\r\nok")) as entry:
            got = await entry.get("/prices")
        self.assertIn(b"set-cookie: a=1\r\nset-cookie: b=2\r\nx-a: 1\r\nx-a: 2\r\n", got)
        self.assertNotIn(b"content-type", got)

    @on_uvloop
    async def test_chunked_bodies_travel_both_ways(self):
        bodies = []

        async def echo(exchange: Exchange) -> None:
            bodies.append(await exchange.body())
            head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            exchange.writer.write(head + b"2\r\nok\r\n0\r\nx-trailer: 1\r\n\r\n")

        async with one_entry(echo) as entry:
            head = b"POST /bids HTTP/1.1\r\nhost: desk.test\r\nconnection: close\r\n"
            chunks = b"5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nx-trailer: 1\r\n\r\n"
            got = await entry.ask(head + b"transfer-encoding: chunked\r\n\r\n" + chunks)
        self.assertEqual([b"hello world"], bodies)
        self.assertTrue(got.endswith(b"\r\n\r\nok"), got)
        self.assertIn(b"content-length: 2\r\n", got)

    @on_uvloop
    async def test_an_empty_chunked_answer_has_an_end(self):
        empty = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        async with one_entry(answer(empty)) as entry:
            self.assertIn(b"content-length: 0\r\n", await entry.get("/prices"))
            self.assertNotIn(b"content-length", await entry.get("/prices", "HEAD"))

    @on_uvloop
    async def test_a_body_is_asked_for_only_when_it_is_wanted(self):
        head = b"POST %s HTTP/1.1\r\nhost: desk.test\r\nexpect: 100-continue\r\n"
        async with one_entry(answer_ok) as entry:
            reader, writer = await entry.connect()
            writer.write(head % b"/bids" + b"content-length: 3\r\n\r\n")
            self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"abc")
            self.assertTrue((await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200"))
            self.assertIsNone(entry.backends[0].exchanges[0].header("expect"))
            writer.close()
            got = await entry.ask(head % b"/no" + b"content-length: 100000\r\n\r\n")
            self.assertTrue(got.startswith(b"HTTP/1.1 404"), got)
            self.assertIn(b"connection: close\r\n", got)

    @on_uvloop
    async def test_interim_answers_end_here(self):
        early = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
        async with one_entry(answer(early + OK)) as entry:
            got = await entry.get("/prices")
        self.assertTrue(got.startswith(b"HTTP/1.1 200 OK\r\n"), got)
        self.assertNotIn(b"link", got)
