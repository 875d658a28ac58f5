"""One call at a sidecar's operators' address. Owns nothing beyond the call."""

from __future__ import annotations

import http.client
import sys
from typing import Any, NoReturn

import click
import msgspec

ANSWER = 3.0  # seconds
LARGEST = 4 * 2**20
AT = click.option(
    "--at",
    "address",
    envvar="BALANCER_OPERATOR",
    required=True,
    metavar="HOST:PORT",
    help="The sidecar's operators' address; else $BALANCER_OPERATOR.",
)


class NoAnswer(Exception):
    """The text is the one line."""


def call(
    address: str,
    path: str,
    method: str = "GET",
    limit: float = ANSWER,
    body: bytes | None = None,
    root: str = "/admin/",
    largest: int = LARGEST,
) -> tuple[int, bytes]:
    """Status and body, of which no more than `largest` bytes. Raises NoAnswer."""
    try:
        connection = http.client.HTTPConnection(address, timeout=limit)
        try:
            connection.request(method, f"{root}{path}", body)
            response = connection.getresponse()
            return response.status, response.read(largest)
        finally:
            connection.close()
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise NoAnswer(f"{address}: {error or type(error).__name__}") from error


def table(address: str, path: str) -> dict[str, Any]:
    """Raises NoAnswer."""
    status, data = call(address, path)
    if status != 200:
        raise NoAnswer(f"{address}: {status} {data[:200].decode('utf-8', 'replace').strip()}")
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise NoAnswer(f"{address}: {error}") from error


def refuse(error: Exception) -> NoReturn:
    click.echo(f"lupinmill: {error}", err=True)
    sys.exit(2)
