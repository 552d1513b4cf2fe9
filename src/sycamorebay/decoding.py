"""Decoding of bytes that other programs wrote, whatever those bytes hold."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import accumulate
from typing import Any

# JSON that is nested deeper cannot be decoded. The decoder's own limit depends on its caller's
# depth in the stack, so that one daemon would read what another one refuses.
MAX_DEPTH = 64
# Larger integers are not exact in the JSON of many programs, and do not fit into a float.
MAX_NUMBER = 2**53
_ALL_BUT_BRACKETS = bytes(byte for byte in range(256) if byte not in b"[]{}")
_STEPS = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}


class UndecodableError(ValueError):
    """The bytes cannot be decoded."""


@contextmanager
def decoding(what: str) -> Iterator[None]:
    """Turn whatever a decoder raises in the ``with`` block into an `UndecodableError`.

    Parameters
    ----------
    what : str
        What is decoded, for the error's message.

    Raises
    ------
    UndecodableError
        If the block raises any exception.
    """
    try:
        yield
    except UndecodableError:
        raise
    # A decoder only computes, so each of its errors is one of the bytes: deep nesting, numbers out
    # of range, lone surrogates, fields of other types.
    except Exception as error:
        raise UndecodableError(f"{what}: {type(error).__name__}: {error}") from error


def parse_json(data: bytes) -> Any:
    """Return the decoded value of JSON.

    Raises
    ------
    UndecodableError
        If the bytes are not JSON, or are nested deeper than `MAX_DEPTH`.
    """
    if _is_nested_deeper(data, MAX_DEPTH):
        raise UndecodableError(f"JSON: nested deeper than {MAX_DEPTH}")
    with decoding("JSON"):
        return json.loads(data)


def check_text(text: str) -> str:
    """Return a decoded string that can be encoded again.

    Raises
    ------
    UndecodableError
        If it has lone surrogates, which JSON can hold.
    """
    if not text.isascii():
        with decoding("text"):
            text.encode()
    return text


def check_integer(value: Any, minimum: int = 0) -> int:
    """Return a decoded number as an integer that later computations can use.

    Raises
    ------
    UndecodableError
        If it is not an integer from `minimum` to `MAX_NUMBER`.
    """
    if type(value) is not int or not minimum <= value <= MAX_NUMBER:
        raise UndecodableError(f"expected an integer from {minimum} to {MAX_NUMBER}")
    return value


def _is_nested_deeper(data: bytes, depth: int) -> bool:
    if data.count(b"[") + data.count(b"{") <= depth:
        return False
    unescaped = data.replace(b"\\\\", b"").replace(b'\\"', b"")
    outside_strings = b"".join(unescaped.split(b'"')[::2])
    brackets = outside_strings.translate(None, _ALL_BUT_BRACKETS)
    levels = accumulate(map(_STEPS.__getitem__, brackets))
    return any(map(depth.__lt__, levels))
