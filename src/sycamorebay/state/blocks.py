"""Blocks of requests that crash backend servers, as the store keeps them."""

from __future__ import annotations

import attrs


@attrs.frozen
class Block:
    """Value of the key of one request.

    Attributes
    ----------
    owner : str
        Start of the daemon that may let the request run again as a trial.
    cleared : bool
        Whether a server has answered the request since, so that it is blocked no longer.
    """

    owner: str
    cleared: bool = False
