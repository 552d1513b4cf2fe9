"""Command line of the entry daemon and of the operators' tools."""

from __future__ import annotations

import json

import click
import uvloop

from sycamorebay import log
from sycamorebay.commands.config import config
from sycamorebay.commands.explain import explain
from sycamorebay.commands.shared import exit_codes
from sycamorebay.settings import load_settings, settings_schema
from sycamorebay.state.document import document_schema
from sycamorebay.transport.entry.daemon import serve as serve_entry


@click.group()
def main() -> None:
    """Place requests on backend servers that are allowed and able to serve them."""


@main.command()
@click.option("--settings", "path", required=True, help="Path of this entry's settings file.")
def serve(path: str) -> None:
    """Run an entry daemon until it receives SIGTERM or SIGINT."""
    with exit_codes(path):
        settings = load_settings(path)
    log.configure(settings.log)
    uvloop.run(serve_entry(settings))


@main.command("check-settings")
@click.argument("path")
def check_settings(path: str) -> None:
    """Check a settings file and list every fault."""
    with exit_codes(path):
        load_settings(path)
    click.echo(f"{path}: no faults")


@main.command()
@click.argument("kind", type=click.Choice(["settings", "document"]), default="settings")
def schema(kind: str) -> None:
    """Print the JSON Schema of the settings or of the document."""
    json_schema = settings_schema() if kind == "settings" else document_schema()
    click.echo(json.dumps(json_schema, indent=2))


main.add_command(config)
main.add_command(explain)
