"""Exit codes, output and access to the platform that commands share."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import click

from sycamorebay.errors import (
    ConflictError,
    DocumentError,
    NotTriedError,
    SettingsError,
    SycamorebayError,
    UnknownOutcomeError,
)
from sycamorebay.settings import PlatformSettings
from sycamorebay.state.faults import Fault
from sycamorebay.transport.configuration.platform import Store, open_store

EXIT_DIFFERS = 1
EXIT_FAULTS = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM = 4
EXIT_UNSETTLED = 5
EXIT_NOT_TRIED = 6
EXIT_LAGGING = 7

OPERATOR_CALLS_PER_SECOND = 50.0

T = TypeVar("T")


def with_store(url: str, work: Callable[[Store], Awaitable[T]]) -> T:
    """Run a coroutine over the platform's service and return its result."""

    async def run() -> T:
        settings = PlatformSettings(url=url, calls_per_second=OPERATOR_CALLS_PER_SECOND)
        async with open_store(settings) as store:
            return await work(store)

    return asyncio.run(run())


@contextmanager
def exit_codes(name: str, as_json: bool = False) -> Iterator[None]:
    """Turn errors into messages and exit codes.

    Parameters
    ----------
    name : str
        What faults are found in.
    as_json : bool
        Whether the message is JSON.
    """
    try:
        yield
    except (DocumentError, SettingsError) as error:
        _tell_faults(name, error.faults, as_json)
        sys.exit(EXIT_FAULTS)
    except SycamorebayError as error:
        code, outcome = _outcome(error)
        tell(
            {"outcome": outcome, "step": error.step, "peer": error.peer, "reason": str(error)},
            f"{outcome}: {error.step}: {error}",
            as_json,
            err=not as_json,
        )
        sys.exit(code)


def tell(data: Any, text: str, as_json: bool, err: bool = False) -> None:
    """Print a result for people or for programs."""
    click.echo(json.dumps(data) if as_json else text, err=err)


def _outcome(error: SycamorebayError) -> tuple[int, str]:
    if isinstance(error, ConflictError):
        return EXIT_CONFLICT, "conflict"
    if isinstance(error, UnknownOutcomeError):
        return EXIT_UNSETTLED, "unsettled"
    if isinstance(error, NotTriedError):
        return EXIT_NOT_TRIED, "not tried"
    return EXIT_PLATFORM, "platform"


def _tell_faults(name: str, faults: list[Fault], as_json: bool) -> None:
    if as_json:
        rows = [{"path": f.path, "value": f.value, "allowed": f.allowed} for f in faults]
        click.echo(json.dumps({"outcome": "faults", "faults": rows}))
        return
    for fault in faults:
        click.echo(f"{name}: {fault}", err=True)
