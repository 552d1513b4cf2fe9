"""The promises, checked over a `History`; each check returns what broke it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from tests.gateway_soak.history import NOT_RUN, Call, History

# From the pages of the platform: a configuration's bound, how long a gateway has to be undisturbed
# for it, and how soon after a version was seen no older one may be.
APPLY_S = 2.0
SETTLE_S = 3.0
DOWNGRADE_S = 0.25
# Of a stop: requests on open connections are answered so long; later ones may cross the close.
STOP_ANSWERS_S = 2.0
RECOVER_S = 5.0
MIN_SERVED_AFTER = 0.95


def ran_twice(history: History) -> list[str]:
    """Find unsafe requests that ran more than once."""
    unsafe = {call.id for call in history.calls if not call.safe}
    runs = history.runs_by_request()
    return [
        f"{key} ran {len(found)} times"
        for key, found in runs.items()
        if key in unsafe and len(found) > 1
    ]


def falsely_not_run(history: History) -> list[str]:
    """Find unsafe requests that ran although their answer said that they had not."""
    runs = history.runs_by_request()
    return [
        f"{call.id} got {call.status} and ran"
        for call in history.calls
        if not call.safe and call.status in NOT_RUN and call.id in runs
    ]


def wrong_answers(history: History) -> list[str]:
    """Find successes that aren't the whole answer to their own request."""
    return [
        f"{call.id} got {call.body!r}"
        for call in history.calls
        if call.status == 200 and call.body.partition(b":")[0] != call.id.encode()
    ]


def older_again(history: History) -> list[str]:
    """Find requests handled by an older configuration than their gateway had shown before."""
    found = []
    calls_by_start: dict[tuple[int, int], list[tuple[Call, int]]] = defaultdict(list)
    for call in history.calls:
        calls_by_start[call.gateway, call.start].append((call, _version(history, call)))
    for calls in calls_by_start.values():
        for call, version in calls:
            shown = [v for other, v in calls if other.ended_at + DOWNGRADE_S < call.sent_at]
            if version and max(shown, default=0) > version:
                found.append(f"{call.id} at gateway {call.gateway}: {version} after {max(shown)}")
    return found


def late_configuration(history: History) -> list[str]:
    """Find requests handled by an older configuration long after a newer was acknowledged."""
    found = []
    for call in history.calls:
        version = _version(history, call)
        known = [one.number for one in history.versions if one.at + APPLY_S < call.sent_at]
        calm = history.is_calm(call.gateway, call.sent_at - SETTLE_S, call.ended_at)
        if version and known and version < max(known) and calm:
            found.append(f"{call.id} at gateway {call.gateway}: {version} instead of {max(known)}")
    return found


def lost_in_stop(history: History) -> list[str]:
    """Find requests that a planned stop cut off."""
    stops = [one for one in history.disturbances if one.kind == "stop"]
    found = []
    for call in history.calls:
        for stop in stops:
            during = stop.since - 1.0 <= call.sent_at <= stop.since + STOP_ANSWERS_S
            others = [
                one
                for one in history.disturbances
                if one.kind != "stop"
                and one.gateway in (-1, call.gateway)
                and one.since <= call.ended_at
                and one.until >= call.sent_at - SETTLE_S
            ]
            ended = stop.since <= call.ended_at
            if stop.gateway == call.gateway and during and ended and not call.status and not others:
                found.append(f"{call.id} was cut off by the stop of gateway {call.gateway}")
    return found


def not_recovered(history: History) -> list[str]:
    """Find out whether requests are served again soon after the last fault."""
    after = [call for call in history.calls if call.sent_at > history.faults_ended_at + RECOVER_S]
    served = sum(call.status == 200 for call in after)
    if not after or served < MIN_SERVED_AFTER * len(after):
        return [f"{served} of {len(after)} served after the faults"]
    return []


CHECKS: tuple[Callable[[History], list[str]], ...] = (
    ran_twice,
    falsely_not_run,
    wrong_answers,
    older_again,
    late_configuration,
    lost_in_stop,
    not_recovered,
)


def _version(history: History, call: Call) -> int:
    """Return the version whose service answered, the latest that was known then; 0 for none."""
    service = call.body.partition(b":")[2].decode("ascii", "replace")
    numbers = [
        one.number
        for one in history.versions
        if one.service == service and one.at - 0.1 <= call.ended_at
    ]
    return max(numbers, default=0) if call.status == 200 and call.safe else 0
