"""Client of the admin API: one call per connection."""

from __future__ import annotations

import http.client
import sys
from typing import Any, NoReturn

import click
import msgspec

TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 4 * 2**20
ADDRESS_OPTION = click.option(
    "--at",
    "address",
    envvar="BALANCER_OPERATOR",
    required=True,
    metavar="HOST:PORT",
    help="The admin address of the sidecar; default: $BALANCER_OPERATOR.",
)


class AdminCallFailed(Exception):
    """The call failed or was refused. Its text is the one line to print."""


def send_call(
    address: str,
    path: str,
    method: str = "GET",
    timeout: float = TIMEOUT_S,
    body: bytes | None = None,
    base_path: str = "/admin/",
    max_bytes: int = MAX_ANSWER_BYTES,
) -> tuple[int, bytes]:
    """Returns the status and at most `max_bytes` of the body. Raises AdminCallFailed."""
    try:
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, f"{base_path}{path}", body)
            response = connection.getresponse()
            return response.status, response.read(max_bytes)
        finally:
            connection.close()
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise AdminCallFailed(f"{address}: {error or type(error).__name__}") from error


def fetch_table(address: str, path: str) -> dict[str, Any]:
    """Returns the JSON object at the path. Raises AdminCallFailed."""
    status, data = send_call(address, path)
    if status != 200:
        raise AdminCallFailed(f"{address}: {status} {data[:200].decode('utf-8', 'replace').strip()}")
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise AdminCallFailed(f"{address}: {error}") from error


def exit_with_error(error: Exception) -> NoReturn:
    click.echo(f"lupinmill: {error}", err=True)
    sys.exit(2)
