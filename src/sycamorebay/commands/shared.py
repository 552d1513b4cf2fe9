"""Exit codes, output and access to the platform's service for all commands."""

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

EXIT_DIFFERENCES = 1
EXIT_FAULTS = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM = 4
EXIT_UNKNOWN_OUTCOME = 5
EXIT_NOT_TRIED = 6
EXIT_LAGGING = 7

OPERATOR_CALLS_PER_SECOND = 50.0

T = TypeVar("T")


def with_store(url: str, function: Callable[[Store], Awaitable[T]]) -> T:
    """Run a coroutine function with a connection to the platform's service.

    Parameters
    ----------
    url : str
        URL of the platform's service.
    function : callable
        Called with the open store; its result is awaited and returned.
    """

    async def run() -> T:
        settings = PlatformSettings(url=url, calls_per_second=OPERATOR_CALLS_PER_SECOND)
        async with open_store(settings) as store:
            return await function(store)

    return asyncio.run(run())


@contextmanager
def exit_codes(name: str, as_json: bool = False) -> Iterator[None]:
    """Print the errors of this package and exit with the code of each.

    Parameters
    ----------
    name : str
        Name of the checked file or environment, printed with each fault.
    as_json : bool
        Whether to print JSON.

    Raises
    ------
    SystemExit
        If the ``with`` block raises an error of this package.
    """
    try:
        yield
    except (DocumentError, SettingsError) as error:
        _print_faults(name, error.faults, as_json)
        sys.exit(EXIT_FAULTS)
    except SycamorebayError as error:
        code, outcome = _code_and_outcome(error)
        print_result(
            {"outcome": outcome, "step": error.step, "peer": error.peer, "reason": str(error)},
            f"{outcome}: {error.step}: {error}",
            as_json,
            err=not as_json,
        )
        sys.exit(code)


def print_result(data: Any, text: str, as_json: bool, err: bool = False) -> None:
    """Print a result.

    Parameters
    ----------
    data : object
        Result as JSON.
    text : str
        Result as text.
    as_json : bool
        Whether to print `data` rather than `text`.
    err : bool
        Whether to print to standard error.
    """
    click.echo(json.dumps(data) if as_json else text, err=err)


def _code_and_outcome(error: SycamorebayError) -> tuple[int, str]:
    if isinstance(error, ConflictError):
        return EXIT_CONFLICT, "conflict"
    if isinstance(error, UnknownOutcomeError):
        return EXIT_UNKNOWN_OUTCOME, "unsettled"
    if isinstance(error, NotTriedError):
        return EXIT_NOT_TRIED, "not tried"
    return EXIT_PLATFORM, "platform"


def _print_faults(name: str, faults: list[Fault], as_json: bool) -> None:
    if as_json:
        rows = [{"path": f.path, "value": f.value, "allowed": f.allowed} for f in faults]
        click.echo(json.dumps({"outcome": "faults", "faults": rows}))
        return
    for fault in faults:
        click.echo(f"{name}: {fault}", err=True)
