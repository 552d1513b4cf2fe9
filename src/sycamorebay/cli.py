"""The command line."""

from __future__ import annotations

import json

import click
import uvloop

from sycamorebay import log
from sycamorebay.commands.config import config
from sycamorebay.commands.shared import exit_codes
from sycamorebay.settings import load_settings, settings_schema
from sycamorebay.state.document import document_schema
from sycamorebay.transport.entry.daemon import serve as serve_entry


@click.group()
def main() -> None:
    """Place every request in an allowed place, on a backend server able to take it."""


@main.command()
@click.option("--settings", "path", required=True, help="Settings file of this entry.")
def serve(path: str) -> None:
    """Run an entry daemon."""
    with exit_codes(path):
        settings = load_settings(path)
    log.configure(settings.log)
    uvloop.run(serve_entry(settings))


@main.command("check-settings")
@click.argument("path")
def check_settings(path: str) -> None:
    """Check a settings file and name every fault."""
    with exit_codes(path):
        load_settings(path)
    click.echo(f"{path}: no faults")


@main.command()
@click.argument("kind", type=click.Choice(["settings", "document"]), default="settings")
def schema(kind: str) -> None:
    """Print a JSON Schema."""
    found = settings_schema() if kind == "settings" else document_schema()
    click.echo(json.dumps(found, indent=2))


main.add_command(config)
