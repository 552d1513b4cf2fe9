"""Checker of a caller's connection; ``python -m specs.caller_connection``.

It drives the state machine of the product, not a description of it, through every order of events
of up to three pipelined requests, and of four where it is run by hand. What surrounds the machine
is a model: the parser, the handler, the streams, the buffer space of other connections, the timer
and the caller. The states of both together are hashed, and all of them are explored.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from functools import partial
from typing import Any

import attrs
from minicheck import Protocol, check_safety

from specs import caller_connection_before as before
from specs.caller_connection_state import PROPERTIES, Shape, State
from specs.caller_connection_world import World
from sycamorebay.protocol.caller_connection import ConnectionMachine

MAX_STATES = 3_000_000


@attrs.frozen
class Variant:
    """A state machine and the bounds of what happens around it.

    Attributes
    ----------
    machine : type
        The state machine's class.
    requests : int
        Most requests on the connection.
    shapes : tuple of Shape
        The shapes that a request may have.
    may_stop, may_fail : bool
        Whether the gateway may stop, and whether a handler may end without an answer.
    may_pause : bool
        Whether the caller may leave its answers unread for a time.
    any_may_break : bool
        Whether any streamed answer may break off, and not only that of a download.
    """

    machine: type[ConnectionMachine[Any]] = ConnectionMachine
    requests: int = 3
    shapes: tuple[Shape, ...] = tuple(Shape)
    may_stop: bool = True
    may_fail: bool = True
    may_pause: bool = True
    any_may_break: bool = False


def steps(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Yield the label and the next state of every event that may happen."""
    if state.violations:
        return
    for label, event in World(variant, state).events():
        world = World(variant, state)
        event(world)
        yield label, world.freeze()


def protocol(variant: Variant) -> Protocol:
    """Return the specification for the model checker."""
    invariants = {name: partial(_is_kept, name) for name in PROPERTIES}
    return Protocol(
        name="caller connection",
        candidate=False,
        fields=State._fields,
        initial=World.opened(variant).freeze(),
        transitions=lambda state: list(steps(variant, state)),
        invariants=invariants,
    )


def _is_kept(name: str, state: dict[str, Any]) -> bool:
    return name not in state["violations"]


def check(variant: Variant) -> dict[str, Any]:
    """Explore all reachable states of a variant and return the model checker's result."""
    return check_safety(protocol(variant), max_states=MAX_STATES)


def violations(result: dict[str, Any]) -> dict[str, list[str]]:
    """Return the shortest trace to a violation of each violated property, by its name."""
    return {
        name: [step["label"] for step in outcome["counterexample"][1:]]
        for name, outcome in result["properties"].items()
        if outcome["holds"] is False
    }


PLAIN = (Shape.SAFE, Shape.DOWNLOAD)
BODIES = (Shape.SAFE, Shape.UPLOAD, Shape.UPLOAD_EXPECTING, Shape.CHUNKED)
SOUND = (Variant(), Variant(requests=4))
SHORT = (
    Variant(requests=2),
    Variant(shapes=(*PLAIN, Shape.UPLOAD), may_fail=False, may_pause=False),
)
# The property that each variant has to violate.
BROKEN_BY_NAME: dict[str, tuple[str, Variant]] = {
    "never reads on after a wait": (
        "waits end",
        Variant(before.NeverReadsOn, 1, BODIES),
    ),
    "keeps the space of requests that it drops": (
        "space is released",
        Variant(before.KeepsSpace, 2),
    ),
    "writes answers as they come": (
        "in order",
        Variant(before.WritesAsTheyCome, 2, PLAIN),
    ),
    "before be5e991": (
        "no start after the close",
        Variant(before.BeforeBe5e991, 2, PLAIN),
    ),
    "before d5b8793": (
        "one response",
        Variant(before.BeforeD5b8793, 2, PLAIN),
    ),
    "before 3b8ad05": (
        "waits end",
        Variant(before.Before3b8ad05, 1, BODIES),
    ),
    "before the fix of interim-answer-in-download": (
        "in order",
        Variant(before.ContinuesWithinStream, 2, tuple(Shape)),
    ),
    "before the fix of waiting-body-at-close": (
        "space is released",
        Variant(before.KeepsBodyAtClose, 2, BODIES),
    ),
    "before the fix of idle-beside-empty-lines": (
        "waits end",
        Variant(before.ForgetsIdleTime, 1, PLAIN),
    ),
    "starts requests behind unread answers": (
        "no start for unread answers",
        Variant(before.StartsForUnreadAnswers, 2, PLAIN),
    ),
    # Open in docs/incidents/broken-download.md: the current state machine.
    "an answer of over 1 MiB to a safe request breaks off": (
        "one response",
        Variant(requests=2, shapes=PLAIN, any_may_break=True),
    ),
}


def main() -> int:
    """Check every variant, print the results, and return the exit status."""
    failed = False
    for name, (violated, variant) in BROKEN_BY_NAME.items():
        result = check(variant)
        trace = violations(result).get(violated)
        failed |= trace is None
        print(f"broken, {name}: {violated}: {trace or 'no violation found'}")
    for variant in (*SHORT, *SOUND):
        begun = time.monotonic()
        result = check(variant)
        found = violations(result)
        failed |= bool(found) or not result["exhaustive"]
        taken_s = time.monotonic() - begun
        print(f"sound: {result['reachable_states']} states in {taken_s:.0f} s")
        print("".join(f"  {name}: {trace}\n" for name, trace in found.items()) or "  all hold")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
