"""Backend servers under virtual time: slots, a queue, a changing pace, and slowness when full."""

from __future__ import annotations

from collections import deque
from random import Random

import attrs

from bench.emulator.load import Losses, Service
from sycamorebay.coordination.server_load import ServerReport
from sycamorebay.state.server_entries import ServerEntry

NOISE_S = 0.3
FULL_SHARE = 0.8
FULL_FACTOR = 1.7


@attrs.define(eq=False)
class Run:
    """One request at a server: its work, and what is called at its end."""

    work_s: float
    on_end: object
    cancelled: bool = False
    started: bool = False


class EmulatedServer:
    """One server; `start` returns when its next run ends."""

    def __init__(
        self, number: int, service: Service, rng: Random, losses: tuple[Losses, ...] = ()
    ) -> None:
        self._service = service
        self._rng = rng
        # Drawn apart, so that losses don't change the paces that a policy meets.
        self._loss_rng = Random(rng.random())
        self._losses = [one for one in losses if (number + 0.5) / service.servers < one.servers]
        self._phase = rng.random() * NOISE_S
        self._paces: list[float] = []
        self.running: list[Run] = []
        self.waiting: deque[Run] = deque()
        self.entry = ServerEntry(
            f"{service.name}-{number}",
            service.name,
            f"s:{number}",
            "abc"[number % 3],
            service.slots,
        )

    def pace(self, now: float) -> float:
        """Return the pace of the machine, which changes each `NOISE_S`."""
        step = int((now + self._phase) / NOISE_S)
        while len(self._paces) <= step:
            noisy = self._rng.random() < self._service.noise_share
            self._paces.append(self._service.noise_factor if noisy else 1.0)
        return self._paces[step]

    def loses(self, now: float) -> bool:
        """Whether an answer that is ready now is lost."""
        return any(
            one.at <= now < one.at + one.for_s and self._loss_rng.random() < one.answers
            for one in self._losses
        )

    def report(self, now: float) -> ServerReport:
        """Return the load that the server tells."""
        return ServerReport(len(self.running), len(self.waiting), self.pace(now))

    def accept(self, run: Run) -> bool:
        """Take a request in; False where it is full."""
        if len(self.running) >= self._service.slots:
            if len(self.waiting) >= self._service.queue:
                return False
            self.waiting.append(run)
            return True
        return self.begin(run)

    def begin(self, run: Run) -> bool:
        """Give a request a slot."""
        run.started = True
        self.running.append(run)
        return True

    def duration(self, now: float, run: Run) -> float:
        """Return how long a run that starts now takes, in seconds."""
        full = len(self.running) > FULL_SHARE * self._service.slots
        return run.work_s * self.pace(now) * (FULL_FACTOR if full else 1.0)

    def next_waiting(self) -> Run | None:
        """Return what runs next, or None."""
        while self.waiting:
            run = self.waiting.popleft()
            if not run.cancelled:
                return run
        return None
