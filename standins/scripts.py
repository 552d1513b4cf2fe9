"""Scripts for `standins.scripted.ScriptedServer`: healthy, overloaded and faulty servers."""

from __future__ import annotations

import asyncio

from standins.scripted import ReceivedRequest, Script, ServerConnection

SHED_HEADERS = {"Sycamorebay-Not-Executed": "1"}


async def shed(request: ReceivedRequest, connection: ServerConnection) -> None:
    """Reject a request without running it."""
    connection.answer(request, 503, headers=SHED_HEADERS, signed=False)


async def run_and_reset(_request: ReceivedRequest, connection: ServerConnection) -> None:
    """Run a request, and reset the connection instead of an answer."""
    connection.reset()


async def run_and_stay_silent(_request: ReceivedRequest, _connection: ServerConnection) -> None:
    """Run a request and never answer."""
    await asyncio.sleep(3600)


async def answer_malformed(_request: ReceivedRequest, connection: ServerConnection) -> None:
    """Send bytes that aren't a valid HTTP answer."""
    connection.write_raw(b"HTTP/1.1 OK 200\r\ncontent-length: -3\r\n\r\nxyz")


def endless(start: bytes, piece: bytes, sent: list[int]) -> Script:
    """Return a script that sends bytes until the caller closes.

    Parameters
    ----------
    start : bytes
        Sent once; ``{id}`` in it is replaced by the id of the request.
    piece : bytes
        Sent again and again.
    sent : list of int
        Gets the number of bytes of each piece that was accepted for sending.
    """

    async def send(request: ReceivedRequest, connection: ServerConnection) -> None:
        connection.write_raw(start.replace(b"{id}", request.request_id.encode()))
        while not connection.writer.is_closing():
            connection.write_raw(piece)
            sent.append(len(piece))
            await connection.writer.drain()
            await asyncio.sleep(0)

    return send


def after(seconds: float) -> Script:
    """Return a script that answers each request after a delay in seconds."""

    async def work(request: ReceivedRequest, connection: ServerConnection) -> None:
        await asyncio.sleep(seconds)
        connection.answer(request)

    return work


class SlotLimitedScript:
    """Script of a server with slots and a queue that reports its load and sheds the excess.

    Parameters
    ----------
    slots, queue : int
        Number of requests that may run at the same time, and that may wait for a slot.
    work_s : float
        Time that a request occupies its slot, in seconds.

    Attributes
    ----------
    running, queued : int
        Number of requests that run now, and that wait for a slot.
    peak_running : int
        Largest number of requests that ran at the same time.
    shed : int
        Number of requests rejected because the queue was full.
    """

    def __init__(self, slots: int, queue: int, work_s: float) -> None:
        self._slots = slots
        self._queue = queue
        self._work_s = work_s
        self._free = asyncio.Semaphore(slots)
        self.running = 0
        self.queued = 0
        self.peak_running = 0
        self.shed = 0

    async def __call__(self, request: ReceivedRequest, connection: ServerConnection) -> None:
        """Run a request as soon as a slot is free, or shed it if the queue is full."""
        if self._free.locked() and self.queued >= self._queue:
            self.shed += 1
            connection.answer(
                request, 503, headers={**SHED_HEADERS, **self._load_headers()}, signed=False
            )
            return
        self.queued += 1
        try:
            await self._free.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self.running -= 1
            self._free.release()
        connection.answer(request, headers=self._load_headers())

    def load(self) -> str:
        """Return the value of the load header: running, queued, slots and a constant 100."""
        return f"{self.running},{self.queued},{self._slots},100"

    def _load_headers(self) -> dict[str, str]:
        return {"Sycamorebay-Load": self.load()}
