"""Answers where a request would go now, and why, for operators; nothing is sent to a server."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs

import attrs

from sycamorebay.coordination.authentication import Denied, authenticate
from sycamorebay.coordination.explanation import explain_route
from sycamorebay.coordination.placing import Placer
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.protocol.header_names import RawHeaders
from sycamorebay.state.accounts import ClientAccount
from sycamorebay.state.routing import Route, RoutingTable, UnreadableRoute


@attrs.frozen
class Question:
    """A request that is asked about.

    Attributes
    ----------
    host : str
        Host of the request, in lower case.
    path : str
        Its path, without a query.
    key : str or None
        Key of a client account, which is a secret.
    """

    host: str
    path: str
    key: str | None = attrs.field(default=None, repr=False)


def read_question(target: str, headers: RawHeaders, codec: HeaderCodec) -> Question | None:
    """Return what is asked in ``?host=HOST&path=PATH``; None if one of them is missing.

    The key is taken from the headers, as that of a request would be.
    """
    fields = parse_qs(target.partition("?")[2])
    host, path = fields.get("host"), fields.get("path")
    if not host or not path:
        return None
    return Question(host[0].lower(), path[0], codec.read_request(headers).key)


def explain(
    now: float,
    question: Question,
    routing: RoutingTable | None,
    placer: Placer,
    *,
    confirmed_age_s: float,
    is_current: bool,
) -> bytes:
    """Return the explanation as JSON.

    Parameters
    ----------
    now : float
        Current time in seconds on the placer's clock.
    question : Question
        The request that is asked about.
    routing : RoutingTable or None
        The routing table in force.
    placer : Placer
        Knows the servers.
    confirmed_age_s : float
        Time since the routing table was confirmed to be up to date, in seconds.
    is_current : bool
        Whether that counts as up to date.
    """
    document: dict[str, Any] = {"host": question.host, "path": question.path}
    if routing is None:
        document["outcome"] = "refused with 503: no configuration is known yet"
        return _encode(document)
    document["configuration"] = {
        "version": routing.version,
        "confirmed_s_ago": round(confirmed_age_s, 3),
    }
    document.update(_explain_table(now, question, routing, placer, is_current))
    return _encode(document)


def _explain_table(
    now: float, question: Question, routing: RoutingTable, placer: Placer, is_current: bool
) -> dict[str, Any]:
    route = routing.find(question.host, question.path)
    if route is None:
        return {"outcome": "refused with 404: no route matches"}
    if isinstance(route, UnreadableRoute):
        return {"outcome": f"refused with 503: the route {route.name} could not be decoded"}
    account = authenticate(
        routing.accounts, question.key, required=route.needs_key, is_current=is_current
    )
    if isinstance(account, Denied):
        return {"route": route.name, "outcome": f"refused: {account.reason}"}
    services = explain_route(now, placer, route)
    return {
        "route": _route_fields(route),
        "account": _account_fields(account),
        "services": [attrs.asdict(service) for service in services],
    }


def _route_fields(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "kind": route.kind.value,
        "priority": route.priority,
        "goal_s": route.goal_s,
        "timeout_s": route.timeout_s,
        "attempts": route.attempts,
    }


def _account_fields(account: ClientAccount | None) -> dict[str, Any] | None:
    if account is None:
        return None
    fields: dict[str, Any] = {"name": account.name, "priority": account.priority}
    if account.rate_per_s is not None:
        fields["limit_per_s"] = account.rate_per_s
        fields["burst"] = account.burst
        fields["note"] = "its owner is asked for a permit first"
    return fields


def _encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()
