"""What a `ScriptedServer` may do with a request."""

from __future__ import annotations

import asyncio

from standins.scripted import Line, Script, Seen

SHED_HEADERS = {"Sycamorebay-Not-Executed": "1"}


async def shed(seen: Seen, line: Line) -> None:
    """Reject a request without running it."""
    line.answer(seen, 503, headers=SHED_HEADERS, signed=False)


async def run_and_reset(_seen: Seen, line: Line) -> None:
    """Run a request and lose its answer."""
    line.reset()


async def run_and_stay_silent(_seen: Seen, _line: Line) -> None:
    """Run a request and never answer."""
    await asyncio.sleep(3600)


async def garble(_seen: Seen, line: Line) -> None:
    """Answer with bytes that are none."""
    line.raw(b"HTTP/1.1 OK 200\r\ncontent-length: -3\r\n\r\nxyz")


def after(seconds: float) -> Script:
    """Return a script that answers after some work."""

    async def work(seen: Seen, line: Line) -> None:
        await asyncio.sleep(seconds)
        line.answer(seen)

    return work


class Slots:
    """A server with slots and a queue, which tells its load and sheds what doesn't fit.

    Parameters
    ----------
    slots, queue : int
        Requests that it runs at once, and that wait.
    work_s : float
        Time that one takes.
    """

    def __init__(self, slots: int, queue: int, work_s: float) -> None:
        self._slots = slots
        self._queue = queue
        self._work_s = work_s
        self._free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.most = 0
        self.shed = 0

    async def __call__(self, seen: Seen, line: Line) -> None:
        """Run a request, have it wait, or shed it."""
        if self._free.locked() and self.waiting >= self._queue:
            self.shed += 1
            line.answer(seen, 503, headers={**SHED_HEADERS, **self._told()}, signed=False)
            return
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.most = max(self.most, self.running)
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self.running -= 1
            self._free.release()
        line.answer(seen, headers=self._told())

    def load(self) -> str:
        """Return the load that it tells."""
        return f"{self.running},{self.waiting},{self._slots},100"

    def _told(self) -> dict[str, str]:
        return {"Sycamorebay-Load": self.load()}
