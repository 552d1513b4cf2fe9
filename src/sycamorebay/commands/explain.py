"""``sycamorebay explain``: where a request would go now, and why."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from typing import Any
from urllib.parse import urlencode, urlsplit

import aiohttp
import click

TIMEOUT_S = 5.0
EXIT_UNREACHABLE = 4


@click.command()
@click.option("--gateway", required=True, help="Control address of a gateway, as IP:port.")
@click.option("--key-env", help="Environment variable that holds the key of a client account.")
@click.option("--json", "as_json", is_flag=True, help="Print the gateway's answer as it is.")
@click.argument("url")
def explain(gateway: str, key_env: str | None, as_json: bool, url: str) -> None:
    """Tell where a request for URL would go now, and why; nothing is sent to a server."""
    if not urlsplit(url).hostname:
        raise click.UsageError("URL needs a scheme and a host")
    if key_env and key_env not in os.environ:
        raise click.UsageError(f"the environment variable {key_env} is not set")
    key = os.environ[key_env] if key_env else ""
    try:
        document = asyncio.run(_ask(gateway, url, key))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        click.echo(f"{gateway}: {str(error) or type(error).__name__}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    click.echo(json.dumps(document, indent=2) if as_json else render(document))


async def _ask(gateway: str, url: str, key: str) -> dict[str, Any]:
    parts = urlsplit(url)
    query = urlencode({"host": parts.hostname or "", "path": parts.path or "/"})
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(f"http://{gateway}/explain?{query}", headers=headers) as response,
    ):
        response.raise_for_status()
        document = await response.json()
    if not isinstance(document, dict):
        raise ValueError("the gateway's answer is not an explanation")
    return document


def render(document: dict[str, Any]) -> str:
    """Return an explanation as text, one line a fact and a server."""
    lines = [f"{document['host']}{document['path']}"]
    if configuration := document.get("configuration"):
        age = f"confirmed {configuration['confirmed_s_ago']} s ago"
        lines.append(f"configuration {configuration['version']}, {age}")
    if outcome := document.get("outcome"):
        return "\n".join([*lines, outcome])
    route = document["route"]
    lines.append(f"route {route['name']}: {route['kind']}, goal {route['goal_s']} s")
    if account := document.get("account"):
        limit = f", at most {account['limit_per_s']} a second" if "limit_per_s" in account else ""
        lines.append(f"account {account['name']}{limit}")
    for service in document["services"]:
        lines.append(f"service {service['service']} ({service['weight']}): {service['outcome']}")
        lines += [_server_line(server) for server in service["servers"]]
    return "\n".join(lines)


def _server_line(server: dict[str, Any]) -> str:
    age_s = server["report_age_s"]
    age = "no report" if age_s is None else f"report {age_s} s old"
    place = "near" if server["near"] else server["failure_domain"]
    load = f"{server['in_flight']} of {server['slots']} in flight"
    return f"  {server['server']} ({place}): {server['verdict']}; {load}, {age}"
