"""Headers and bodies that an entry forwards, and headers that it replaces or drops."""

from __future__ import annotations

import testtools

from sycamorebay.protocol.headers import headers_to_backend_server, headers_to_caller
from tests.one_entry import OK, ReceivedRequest, answer, answer_ok, on_uvloop, one_entry


class HeadersTest(testtools.TestCase):
    def test_forwarding_headers_are_appended(self):
        received = [
            ("host", "desk.test"),
            ("x-forwarded-for", "192.0.2.1"),
            ("x-forwarded-for", "192.0.2.2"),
            ("via", "1.0 outer"),
            ("x-forwarded-proto", "https"),
        ]
        forwarded = dict(headers_to_backend_server(received, "192.0.2.3", "id-1"))
        self.assertEqual("192.0.2.1, 192.0.2.2, 192.0.2.3", forwarded["x-forwarded-for"])
        self.assertEqual("1.0 outer, 1.1 sycamorebay", forwarded["via"])
        self.assertEqual("https", forwarded["x-forwarded-proto"])
        self.assertEqual(
            ("desk.test", "desk.test"), (forwarded["host"], forwarded["x-forwarded-host"])
        )
        self.assertEqual("id-1", forwarded["x-request-id"])

    def test_hop_by_hop_headers_are_not_forwarded(self):
        received = [
            ("connection", "x-mine, close"),
            ("x-mine", "1"),
            ("keep-alive", "5"),
            ("te", "trailers"),
            ("transfer-encoding", "chunked"),
            ("x-kept", "1"),
        ]
        names = {name for name, _ in headers_to_caller(received, 200, "id-1")}
        self.assertEqual({"x-kept", "x-request-id"}, names)
        self.assertNotIn("x-mine", dict(headers_to_backend_server(received, "", "id-1")))

    def test_the_connection_header_removes_no_protected_header(self):
        received = [
            ("connection", "host, idempotency-key"),
            ("host", "a"),
            ("idempotency-key", "k"),
        ]
        forwarded = dict(headers_to_backend_server(received, "", "id-1"))
        self.assertEqual(("a", "k"), (forwarded["host"], forwarded["idempotency-key"]))

    @on_uvloop
    async def test_the_target_and_header_values_are_forwarded_unchanged(self):
        target = "/prices/%2F;a=b//c?q=%20a+b&%E9=[x]|"
        async with one_entry(answer_ok) as entry:
            await entry.get(
                target, headers="x-name: caf\xe9\r\ncookie: a=1\r\nx-a: 1\r\nx-a: 2\r\n"
            )
            request = entry.backends[0].requests[0]
            self.assertEqual(target, request.target)
            self.assertIn(b"x-name: caf\xe9\r\n", request.head)
            self.assertEqual(["1", "2"], [v for name, v in request.headers if name == "x-a"])
            for name in ("user-agent", "accept", "accept-encoding", "content-length", "connection"):
                self.assertIsNone(request.header(name), name)

    @on_uvloop
    async def test_the_last_forwarded_address_is_that_of_the_connection(self):
        async with one_entry(answer_ok) as entry:
            await entry.get("/prices", headers="x-forwarded-for: 192.0.2.1\r\n")
            forwarded = entry.backends[0].requests[0]
        self.assertEqual("192.0.2.1, 127.0.0.1", forwarded.header("x-forwarded-for"))

    @on_uvloop
    async def test_the_request_id_is_sent_to_the_server_and_the_caller(self):
        async with one_entry(answer_ok) as entry:
            response = await entry.get("/prices", headers="x-request-id: mine-7\r\n")
            self.assertIn(b"x-request-id: mine-7\r\n", response)
            self.assertEqual("mine-7", entry.backends[0].requests[0].header("x-request-id"))
            for headers in ("", "x-request-id: \xff\r\n", f"x-request-id: {'a' * 200}\r\n"):
                response = await entry.get("/prices", headers=headers)
                forwarded = entry.backends[0].requests[-1].header("x-request-id")
                self.assertRegex(forwarded, "^[0-9a-f]{12}-[0-9]+$")
                self.assertIn(forwarded.encode(), response)

    @on_uvloop
    async def test_repeated_headers_of_an_answer_are_not_merged(self):
        head = b"HTTP/1.1 200 OK\r\nset-cookie: a=1\r\nset-cookie: b=2\r\nx-a: 1\r\nx-a: 2\r\n"
        async with one_entry(answer(head + b"content-length: 2\r\n\r\nok")) as entry:
            response = await entry.get("/prices")
        self.assertIn(b"set-cookie: a=1\r\nset-cookie: b=2\r\nx-a: 1\r\nx-a: 2\r\n", response)
        self.assertNotIn(b"content-type", response)

    @on_uvloop
    async def test_chunked_bodies_are_forwarded_both_ways(self):
        bodies = []

        async def echo(request: ReceivedRequest) -> None:
            bodies.append(await request.body())
            head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            request.writer.write(head + b"2\r\nok\r\n0\r\nx-trailer: 1\r\n\r\n")

        async with one_entry(echo) as entry:
            head = b"POST /bids HTTP/1.1\r\nhost: desk.test\r\nconnection: close\r\n"
            chunks = b"5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nx-trailer: 1\r\n\r\n"
            response = await entry.send_raw(head + b"transfer-encoding: chunked\r\n\r\n" + chunks)
        self.assertEqual([b"hello world"], bodies)
        self.assertTrue(response.endswith(b"\r\n\r\nok"), response)
        self.assertIn(b"content-length: 2\r\n", response)

    @on_uvloop
    async def test_an_empty_chunked_answer_gets_a_length(self):
        empty = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        async with one_entry(answer(empty)) as entry:
            self.assertIn(b"content-length: 0\r\n", await entry.get("/prices"))
            self.assertNotIn(b"content-length", await entry.get("/prices", "HEAD"))

    @on_uvloop
    async def test_100_continue_is_sent_only_if_the_body_is_needed(self):
        head = b"POST %s HTTP/1.1\r\nhost: desk.test\r\nexpect: 100-continue\r\n"
        async with one_entry(answer_ok) as entry:
            reader, writer = await entry.connect()
            writer.write(head % b"/bids" + b"content-length: 3\r\n\r\n")
            self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"abc")
            self.assertTrue((await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200"))
            self.assertIsNone(entry.backends[0].requests[0].header("expect"))
            writer.close()
            response = await entry.send_raw(head % b"/no" + b"content-length: 100000\r\n\r\n")
            self.assertTrue(response.startswith(b"HTTP/1.1 404"), response)
            self.assertIn(b"connection: close\r\n", response)

    @on_uvloop
    async def test_interim_answers_are_not_forwarded(self):
        early = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
        async with one_entry(answer(early + OK)) as entry:
            response = await entry.get("/prices")
        self.assertTrue(response.startswith(b"HTTP/1.1 200 OK\r\n"), response)
        self.assertNotIn(b"link", response)
