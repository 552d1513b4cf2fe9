"""Detection of failing and slow backend servers from the results of attempts."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorebay.coordination.attempts import Attempt
from sycamorebay.coordination.limit import OVERLOAD_FACTOR
from sycamorebay.coordination.messages import Answer
from sycamorebay.state.backends import BackendState

SERVER_ERROR_STATUS = 500
CHECK_INTERVAL_S = 0.1
_PAUSE_AFTER_CHECKS = 5


class AttemptMonitor:
    """Reports the results of attempts to the limits, budgets and outlier detectors of services."""

    def __init__(self) -> None:
        self._checked_at = 0.0

    @property
    def next_check(self) -> float:
        """Time in seconds at which to call `check` next."""
        return self._checked_at + CHECK_INTERVAL_S

    def on_answer(self, now: float, attempt: Attempt, answer: Answer) -> None:
        """Record an answer whose head has arrived.

        An answer with an error status, or one that was shed by a server which reports free slots,
        counts as a failure of the server.
        """
        attempt.answered = True
        service = attempt.pending.service
        if not attempt.pending.is_long:
            overloaded = answer.shed or _is_overloaded(attempt.backend, answer)
            service.limit.on_answer(service.short.in_flight, overloaded=overloaded)
        if answer.shed:
            if _shed_with_free_slots(attempt.backend, answer):
                service.on_failed_request(now, attempt.backend)
        elif answer.status >= SERVER_ERROR_STATUS:
            service.on_failed_request(now, attempt.backend)
        else:
            self._on_served(now, attempt)

    def check(self, now: float, attempts: Iterable[Attempt]) -> None:
        """Report backend servers whose answers to short work are overdue.

        Nothing is reported after a pause of this process, as the answers may have arrived
        meanwhile.
        """
        was_paused = self._was_paused(now)
        self._checked_at = now
        if was_paused:
            return
        for attempt in attempts:
            if attempt.answered or attempt.pending.is_long:
                continue
            service = attempt.pending.service
            if now - attempt.sent_at > service.outliers.times.overdue_s():
                service.on_overdue(now, attempt.backend)

    def _on_served(self, now: float, attempt: Attempt) -> None:
        attempt.served = True
        service = attempt.pending.service
        service.retries.on_served()
        service.hedges.on_served()
        if not attempt.pending.is_long and not self._was_paused(now):
            seconds = now - attempt.sent_at
            is_overdue = seconds > service.outliers.times.overdue_s()
            service.outliers.times.on_answer(seconds)
            attempt.backend.on_answer_time(seconds)
            if is_overdue:
                service.on_overdue(now, attempt.backend)
                return
        service.outliers.on_success(now, attempt.backend)

    def _was_paused(self, now: float) -> bool:
        """Return whether this process was paused, so that long waits prove nothing."""
        return now - self._checked_at > CHECK_INTERVAL_S * _PAUSE_AFTER_CHECKS


def _is_overloaded(state: BackendState, answer: Answer) -> bool:
    report = answer.report
    if report is None:
        return False
    return report.in_flight + report.queued > state.server.slots * OVERLOAD_FACTOR


def _shed_with_free_slots(state: BackendState, answer: Answer) -> bool:
    report = answer.report
    if report is None or report.leaving:
        return False
    return report.in_flight + report.queued < state.server.slots
