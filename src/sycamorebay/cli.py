"""The command line."""

from __future__ import annotations

import asyncio
import getpass
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import click
import uvloop

from sycamorebay import log
from sycamorebay.errors import ConflictError, DocumentError, PlatformError, SettingsError
from sycamorebay.settings import PlatformSettings, Settings, load_settings, settings_schema
from sycamorebay.state.document import document_schema, load_document
from sycamorebay.state.faults import Fault
from sycamorebay.transport import admin
from sycamorebay.transport.daemon import serve as serve_entry
from sycamorebay.transport.platform import Store, open_store

EXIT_FAULTS = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM = 4

T = TypeVar("T")


@click.group()
def main() -> None:
    """Place every request in an allowed place, on a backend server able to take it."""


def _settings(path: str) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        _print_faults(path, error.faults)
        sys.exit(EXIT_FAULTS)


def _print_faults(path: str, faults: list[Fault]) -> None:
    for fault in faults:
        click.echo(f"{path}: {fault}", err=True)


@main.command()
@click.option("--settings", "path", required=True, help="Settings file of this entry.")
def serve(path: str) -> None:
    """Run an entry daemon."""
    settings = _settings(path)
    log.configure(settings.log)
    uvloop.run(serve_entry(settings))


@main.command("check-settings")
@click.argument("path")
def check_settings(path: str) -> None:
    """Check a settings file and name every fault."""
    _settings(path)
    click.echo(f"{path}: no faults")


@main.command()
@click.argument("kind", type=click.Choice(["settings", "document"]), default="settings")
def schema(kind: str) -> None:
    """Print a JSON Schema."""
    found = settings_schema() if kind == "settings" else document_schema()
    click.echo(json.dumps(found, indent=2))


@main.group()
def config() -> None:
    """Check and change the environment's document."""


@config.command("check")
@click.argument("path")
def config_check(path: str) -> None:
    """Check a document and name every fault."""
    try:
        load_document(Path(path).read_bytes())
    except DocumentError as error:
        _print_faults(path, error.faults)
        sys.exit(EXIT_FAULTS)
    click.echo(f"{path}: no faults")


@config.command("apply")
@click.argument("path")
@click.option("--platform", "url", required=True, help="URL of the platform's service.")
@click.option("--environment", default="production", show_default=True)
@click.option("--reason", default="", help="For the audit trail.")
def config_apply(path: str, url: str, environment: str, reason: str) -> None:
    """Put a document into an environment."""
    change = admin.Change(Path(path).read_bytes(), "apply", getpass.getuser(), reason)
    try:
        record = _with_store(url, lambda store: admin.apply(store, environment, change))
    except DocumentError as error:
        _print_faults(path, error.faults)
        sys.exit(EXIT_FAULTS)
    except ConflictError as error:
        click.echo(f"conflict: {error}", err=True)
        sys.exit(EXIT_CONFLICT)
    except PlatformError as error:
        click.echo(f"platform: {error.step}: {error}", err=True)
        sys.exit(EXIT_PLATFORM)
    click.echo(f"revision {record.revision.number} accepted, digest {record.revision.digest}")


def _with_store(url: str, work: Callable[[Store], Awaitable[T]]) -> T:
    async def run() -> T:
        async with open_store(PlatformSettings(url=url)) as store:
            return await work(store)

    return asyncio.run(run())
