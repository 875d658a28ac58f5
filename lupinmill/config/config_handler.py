"""Handles operators' requests to a relay or a source. Owns nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

import orjson

from lupinmill.config import wire
from lupinmill.config.history import SourceBehind
from lupinmill.config.model import MAX_REPLY_BYTES, Version
from lupinmill.config.push import InvalidPush
from lupinmill.config.server import JSON_HEADERS
from lupinmill.config.source import IndexMismatch, SaveFailed, Source, VersionNotRetained
from lupinmill.protocol.http import Answer, Garbled, Malformed, Request, plain

MAX_PUSH_BYTES = MAX_REPLY_BYTES
RESTORE_HINT = (
    "`lupinmill config restore` publishes what is here beyond all versions heard of; if what is here is too "
    "old, push its newer content after that"
)


class ConfigHandler:
    def __init__(
        self, status: Callable[[], dict[str, Any]], entries: Callable[[], bytes], source: Source | None
    ) -> None:
        self.status, self.entries, self.source = status, entries, source

    async def handle(self, request: Request) -> Answer:
        """Raises Malformed."""
        path, _, query = request.target.partition(b"?")
        calls = {b"/v1/push": self.push, b"/v1/rollback": self.rollback, b"/v1/restore": self.restore}
        if path == b"/v1/status":
            if request.method != b"GET":
                raise Malformed(405, "status: only GET")
            return Answer(200, JSON_HEADERS, orjson.dumps(self.status()))
        if path == b"/v1/entries":
            if request.method != b"GET":
                raise Malformed(405, "entries: only GET")
            return Answer(200, JSON_HEADERS, self.entries())
        if path not in calls:
            raise Malformed(404, "no such path")
        if request.method != b"POST":
            raise Malformed(405, f"{path.decode()}: only POST")
        if self.source is None:
            raise Malformed(404, "this is a relay; a source takes that")
        try:
            version = await calls[path](self.source, request, parse_query(query))
        except (InvalidPush, Garbled) as error:
            return plain(400, f"{error}\n")
        except ValueError as error:  # the value is not valid JSON, or the entries are too large
            return plain(400, f"{error}\n")
        except IndexMismatch as error:
            return plain(409, f"{error}\n")
        except SourceBehind as error:
            return plain(409, f"{error}; {RESTORE_HINT}\n")
        except VersionNotRetained as error:
            return plain(404, f"{error}\n")
        except SaveFailed as error:
            return plain(507, f"{error}\n")
        return Answer(200, JSON_HEADERS, orjson.dumps({"index": version.index, "mark": version.mark}))

    async def push(self, source: Source, request: Request, parameters: dict[str, int]) -> Version:
        reject_unknown(parameters, "if_index")
        try:
            table = orjson.loads(request.body)
        except orjson.JSONDecodeError as error:
            raise InvalidPush(f"the body: {error}") from error
        if not isinstance(table, dict):
            raise InvalidPush("the body: not a table")
        if_index = table.pop("if_index", parameters.get("if_index"))
        if if_index is not None and (type(if_index) is not int or if_index < 0):
            raise InvalidPush("if_index: wants a whole number")
        return await source.push(wire.decode_push(table), if_index)

    async def rollback(self, source: Source, request: Request, parameters: dict[str, int]) -> Version:
        reject_unknown(parameters, "to", "if_index")
        if "to" not in parameters:
            raise InvalidPush("to: missing; the index to go back to")
        return await source.rollback(parameters["to"], parameters.get("if_index"))

    async def restore(self, source: Source, request: Request, parameters: dict[str, int]) -> Version:
        reject_unknown(parameters)
        return await source.restore()


def parse_query(query: bytes) -> dict[str, int]:
    """Integer query parameters by name."""
    parameters: dict[str, int] = {}
    try:
        pairs = parse_qsl(query.decode("ascii"), True, bool(query), max_num_fields=4)
    except ValueError as error:
        raise Malformed(400, "query: can't be read") from error
    for key, value in pairs:
        if key in parameters or not wire.DIGITS.fullmatch(value):
            raise Malformed(400, f"{key[:40]!r}: wants one whole number")
        parameters[key] = int(value)
    return parameters


def reject_unknown(parameters: dict[str, int], *keys: str) -> None:
    for key in parameters:
        if key not in keys:
            raise Malformed(400, f"{key[:40]!r}: is not known here")
