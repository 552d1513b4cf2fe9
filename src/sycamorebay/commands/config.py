"""``sycamorebay config``: commands that check and change an environment's document."""

from __future__ import annotations

import asyncio
import getpass
import json
import sys
import time
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import click

from sycamorebay import log
from sycamorebay.commands.shared import (
    EXIT_DIFFERENCES,
    EXIT_LAGGING,
    exit_codes,
    print_result,
    with_store,
)
from sycamorebay.errors import PlatformError
from sycamorebay.settings import LogSettings
from sycamorebay.state.difference import differences
from sycamorebay.state.review import review_document
from sycamorebay.transport.configuration import admin
from sycamorebay.transport.configuration.admin import Accepted, Change
from sycamorebay.transport.configuration.platform import Store

_POLL_INTERVAL_S = 0.5


@attrs.frozen
class ChangeOptions:
    """Options shared by all commands that change a document.

    Attributes
    ----------
    url : str
        URL of the platform's service.
    reason : str
        Reason of the change, for the audit trail.
    nonce : str
        Id of the change; a nonce is never applied twice.
    expected : int or None
        Revision that must be in force; None accepts any.
    wait_s : float
        Time to wait until all members have the revision in force, in seconds; 0 for no wait.
    as_json : bool
        Whether to print JSON.
    """

    url: str
    reason: str
    nonce: str
    expected: int | None
    wait_s: float
    as_json: bool

    def change(self, action: str, text: bytes = b"") -> Change:
        """Return the change that these options describe, with the current user as its author."""
        author = getpass.getuser()
        return Change(text, action, author, self.reason, self.nonce, self.expected)


_platform_option = click.option(
    "--platform", "url", required=True, help="URL of the platform's service."
)
_environment_option = click.option("--environment", default="production", show_default=True)
_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def _change_options(command: Callable[..., None]) -> Callable[..., None]:
    def wrapper(
        url: str,
        reason: str,
        nonce: str,
        expected: int | None,
        wait_s: float,
        as_json: bool,
        **arguments: Any,
    ) -> None:
        nonce = nonce or uuid.uuid4().hex
        command(ChangeOptions(url, reason, nonce, expected, wait_s, as_json), **arguments)

    wrapper.__doc__ = command.__doc__
    wrapper.__name__ = command.__name__
    for option in (
        _platform_option,
        click.option("--reason", default="", help="Reason for the audit trail."),
        click.option(
            "--nonce", default="", help="Id of this change; one id is never applied twice."
        ),
        click.option(
            "--expect", "expected", type=int, help="Revision in force that the change expects."
        ),
        click.option(
            "--wait", "wait_s", type=float, default=0.0, help="Seconds to wait for all members."
        ),
        _json_option,
    ):
        wrapper = option(wrapper)
    return wrapper


@click.group()
def config() -> None:
    """Check and change an environment's document."""
    log.configure(LogSettings(format="console", level="warning"))


@config.command("check")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@_json_option
def config_check(path: str, as_json: bool) -> None:
    """Check a document and list every fault."""
    with exit_codes(path, as_json):
        review_document(_read(path))
    print_result({"outcome": "no faults"}, f"{path}: no faults", as_json)


@config.command("diff")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@_platform_option
@_environment_option
@_json_option
def config_diff(path: str, url: str, environment: str, as_json: bool) -> None:
    """Show what a document would change; exit with 1 if it differs from the one in force."""
    with exit_codes(path, as_json):
        text = _read(path)
        review_document(text)
        history = with_store(url, lambda store: admin.read_history(store, environment))
    before = json.loads(history.record.revision.text) if history.record else {}
    changes = differences(before, json.loads(text))
    lines = [str(change) for change in changes] or [f"same as revision {history.number}"]
    rows = [attrs.asdict(change) for change in changes]
    print_result({"revision": history.number, "differences": rows}, "\n".join(lines), as_json)
    sys.exit(EXIT_DIFFERENCES if changes else 0)


@config.command("try")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--trial", default="trial", show_default=True, help="Name of the trial environment.")
@_change_options
def config_try(options: ChangeOptions, path: str, trial: str) -> None:
    """Apply a document to the trial environment."""
    _submit(options, trial, path, lambda store: _apply(store, trial, options, "try", path))


@config.command("apply")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@_environment_option
@click.option("--untried", is_flag=True, required=True, help="Confirm that it was not tried.")
@_change_options
def config_apply(options: ChangeOptions, path: str, environment: str, untried: bool) -> None:
    """Apply an untried document: the first of an environment, or one for an emergency."""
    _submit(
        options, environment, path, lambda store: _apply(store, environment, options, "apply", path)
    )


@config.command("promote")
@click.argument("digest", default="")
@click.option("--trial", default="trial", show_default=True, help="Name of the trial environment.")
@_environment_option
@_change_options
def config_promote(options: ChangeOptions, digest: str, trial: str, environment: str) -> None:
    """Apply the trial environment's document with this digest to production, unchanged."""

    async def promote(store: Store) -> Accepted:
        text = await admin.text_from_trial(store, trial, digest)
        return await admin.apply(store, environment, options.change("promote", text))

    _submit(options, environment, digest or trial, promote)


@config.command("rollback")
@click.argument("revision", type=int)
@_environment_option
@_change_options
def config_rollback(options: ChangeOptions, revision: int, environment: str) -> None:
    """Create a new revision with the document of an older one."""

    def roll_back(store: Store) -> Awaitable[Accepted]:
        return admin.rollback(store, environment, revision, options.change("rollback"))

    _submit(options, environment, f"revision {revision}", roll_back)


@config.command("show")
@click.argument("revision", type=int, default=0)
@_platform_option
@_environment_option
@click.option("--members", is_flag=True, help="Show which revision each member has in force.")
@_json_option
def config_show(revision: int, url: str, environment: str, members: bool, as_json: bool) -> None:
    """Print the document in force, or that of an older revision."""
    if members:
        _show_members(url, environment, as_json)
        return

    async def read(store: Store) -> bytes:
        if revision:
            return await admin.read_text(store, environment, revision)
        record = (await admin.read_history(store, environment)).record
        if record is None:
            raise PlatformError("the environment has no document", step="read", peer=environment)
        return record.revision.text

    with exit_codes(environment, as_json):
        text = with_store(url, read)
    sys.stdout.buffer.write(text)


@config.command("history")
@_platform_option
@_environment_option
@click.option("--last", type=int, default=20, show_default=True, help="Number of changes.")
@_json_option
def config_history(url: str, environment: str, last: int, as_json: bool) -> None:
    """Show the latest changes with author, time, reason, digest and replaced revision."""
    with exit_codes(environment, as_json):
        history = with_store(url, lambda store: admin.read_history(store, environment))
    entries = history.trail[-last:]
    lines = [
        f"{e.revision:>6}  from {e.from_revision:<6} {e.at}  {e.action:<8}  {e.digest[:12]}  "
        f"{e.author}: {e.reason or '-'}"
        for e in entries
    ]
    print_result([attrs.asdict(e) for e in entries], "\n".join(lines) or "no changes", as_json)


def _read(path: str) -> bytes:
    return Path(path).read_bytes()


def _apply(
    store: Store, environment: str, options: ChangeOptions, action: str, path: str
) -> Awaitable[Accepted]:
    return admin.apply(store, environment, options.change(action, _read(path)))


def _submit(
    options: ChangeOptions,
    environment: str,
    name: str,
    submit: Callable[[Store], Awaitable[Accepted]],
) -> None:
    with exit_codes(name, options.as_json):
        accepted = with_store(options.url, submit)
        lagging: list[str] = []
        if options.wait_s:
            lagging = with_store(
                options.url, lambda store: _wait_for_rollout(store, environment, accepted, options)
            )
    entry = accepted.entry
    data = {
        "outcome": "accepted" if accepted.changed else "accepted before",
        "environment": environment,
        **attrs.asdict(entry),
        "lagging": lagging if options.wait_s else None,
    }
    status = "accepted" if accepted.changed else "was accepted before"
    print_result(
        data, f"revision {entry.revision} {status}, digest {entry.digest}", options.as_json
    )
    if lagging:
        sys.exit(EXIT_LAGGING)


async def _wait_for_rollout(
    store: Store, environment: str, accepted: Accepted, options: ChangeOptions
) -> list[str]:
    """Wait until all members have a revision in force.

    Returns
    -------
    list of str
        Members that do not have it in force after ``options.wait_s`` seconds.
    """
    deadline = time.monotonic() + options.wait_s
    last_line = ""
    while True:
        rollout = await admin.read_rollout(store, environment)
        lagging = rollout.lagging(accepted.entry.revision)
        up_to_date = len(rollout.members) - len(lagging)
        line = f"in force on {up_to_date} of {len(rollout.members)}"
        if lagging:
            line += f", waiting for {', '.join(lagging)}"
        if line != last_line:
            click.echo(line, err=True)
            last_line = line
        if not lagging or time.monotonic() >= deadline:
            return lagging
        await asyncio.sleep(_POLL_INTERVAL_S)


def _show_members(url: str, environment: str, as_json: bool) -> None:
    with exit_codes(environment, as_json):
        rollout = with_store(url, lambda store: admin.read_rollout(store, environment))
    by_id = {report.member_id: report for report in rollout.reports}
    numbers = {id_: by_id[id_].revision if id_ in by_id else 0 for id_ in rollout.members}
    lines = [f"{id_}  revision {number}" for id_, number in sorted(numbers.items())]
    print_result(numbers, "\n".join(lines) or "no members", as_json)
