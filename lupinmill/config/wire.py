"""Encodes and decodes the configuration watch over HTTP/1.1, in the published format of discovery's watch:
`index`, `wait`, and a snapshot or changes. Pure. Decoding raises only `Malformed` for requests and `Garbled`
for replies, whatever the input."""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import parse_qsl, quote

import orjson

from lupinmill.config.model import (
    MAX_REPLY_BYTES,
    MEMBER,
    SCOPES,
    SETTINGS,
    ZONES,
    Entries,
    Key,
    Reply,
    Status,
    Version,
)
from lupinmill.protocol.http import Answer, Garbled, Malformed, Request

PATH = b"/v1/config"
MAX_SCOPES = 64  # per watch
MAX_WAIT_MS = 60_000
MAX_REASON_CHARS = 200  # of the reason for a rejected version
MAX_SPREAD_MS = 600_000
MAX_DEPTH = 32  # nesting of a value; orjson cannot encode more than 254 levels
MAX_INDEX = 2**53 - 1  # largest integer that every JSON implementation represents exactly
KIND_WORD = re.compile(r"[a-z][a-z_-]{0,31}")
MARK = re.compile(r"[A-Za-z0-9._-]{0,32}")
DIGITS = re.compile(r"[0-9]{1,16}")
SINGLE_KEYS = (
    "index",
    "mark",
    "wait",
    "name",
    "in_force",
    "in_force_mark",
    "refused",
    "why",
    "ahead",
    "ahead_mark",
)


def is_valid_name(text: str) -> bool:
    """1 to 64 printable bytes, as for member names in the operators' file."""
    return text.isprintable() and 0 < len(text.encode()) <= 64


def is_valid_scope(text: str) -> bool:
    """`fleet`, or `region/NAME`, `zone/NAME`, `service/NAME`, `sidecar/NAME`."""
    level, slash, name = text.partition("/")
    return text == "fleet" if level == "fleet" else level in SCOPES and bool(slash) and is_valid_name(name)


def is_valid_kind(text: str) -> bool:
    """Kinds that a source of this release publishes."""
    return text in (SETTINGS, ZONES) or text.startswith(MEMBER) and is_valid_name(text[len(MEMBER) :])


def is_well_formed_kind(text: str) -> bool:
    """Kinds that a relay forwards: a later release may define kinds unknown to this one."""
    word, slash, name = text.partition("/")
    return KIND_WORD.fullmatch(word) is not None and (not slash or is_valid_name(name))


# --- request -------------------------------------------------------------------------------------


def encode_watch(since: Version, wait_ms: int, scopes: tuple[str, ...], status: Status) -> Request:
    """A watch from this version; from index 0 it requests a snapshot. Without scopes: all of them."""
    pairs = [("index", str(since.index)), ("mark", since.mark), ("wait", str(wait_ms))]
    pairs += [("scope", scope) for scope in scopes]
    pairs += [
        ("name", status.name),
        ("in_force", str(status.in_force.index)),
        ("in_force_mark", status.in_force.mark),
    ]
    if status.refused:
        why = status.why[:MAX_REASON_CHARS].encode("utf-8", "replace").decode()
        pairs += [("refused", str(status.refused)), ("why", why)]
    if status.ahead.index:
        pairs += [("ahead", str(status.ahead.index)), ("ahead_mark", status.ahead.mark)]
    query = "&".join(f"{key}={quote(value, safe='/')}" for key, value in pairs)
    return Request(b"GET", PATH + b"?" + query.encode(), [(b"Host", b"config")])


class WatchRequest:
    """A decoded watch request."""

    __slots__ = ("since", "wait_ms", "scopes", "status")

    def __init__(self, since: Version, wait_ms: int, scopes: tuple[str, ...], status: Status) -> None:
        self.since, self.wait_ms, self.scopes, self.status = since, wait_ms, scopes, status


def decode_watch(request: Request) -> WatchRequest:
    """Raises Malformed, and nothing else, for any invalid request."""
    if request.method != b"GET":
        raise Malformed(405, "only GET", framing_intact=True)
    path, _, query = request.target.partition(b"?")
    if path != PATH:
        raise Malformed(404, "no such path", framing_intact=True)
    if request.body:
        raise Malformed(400, "a watch has no body", framing_intact=True)
    single, scopes = parse_query(query)
    name = single.get("name", "")
    if not is_valid_name(name):
        raise Malformed(400, "name: none, or not a name", framing_intact=True)
    status = Status(
        name,
        query_version(single, "in_force", "in_force_mark"),
        query_number(single, "refused", MAX_INDEX),
        single.get("why", ""),
        query_version(single, "ahead", "ahead_mark"),
    )
    if len(status.why) > MAX_REASON_CHARS:
        raise Malformed(400, f"why: over {MAX_REASON_CHARS} characters", framing_intact=True)
    wait_ms = min(MAX_WAIT_MS, query_number(single, "wait", MAX_INDEX))
    return WatchRequest(query_version(single, "index", "mark"), wait_ms, scopes, status)


def parse_query(query: bytes) -> tuple[dict[str, str], tuple[str, ...]]:
    try:
        pairs = parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors="strict",
            max_num_fields=MAX_SCOPES + len(SINGLE_KEYS),
        )
    except ValueError as error:  # also raised for non-ASCII bytes and escapes that are not UTF-8
        raise Malformed(400, "query: can't be read", framing_intact=True) from error
    single: dict[str, str] = {}
    scopes: dict[str, None] = {}
    for key, value in pairs:
        if key == "scope":
            if not is_valid_scope(value):
                raise Malformed(400, "scope: not a scope", framing_intact=True)
            scopes[value] = None
        elif key not in SINGLE_KEYS:
            raise Malformed(400, "query: a key that is not known", framing_intact=True)
        elif key in single:
            raise Malformed(400, f"{key}: given twice", framing_intact=True)
        else:
            single[key] = value
    if len(scopes) > MAX_SCOPES:
        raise Malformed(400, f"scope: over {MAX_SCOPES}", framing_intact=True)
    return single, tuple(scopes)


def query_number(single: dict[str, str], key: str, maximum: int) -> int:
    value = single.get(key, "0")
    if not DIGITS.fullmatch(value) or int(value) > maximum:
        raise Malformed(400, f"{key}: not a whole number from 0 to {maximum}", framing_intact=True)
    return int(value)


def query_version(single: dict[str, str], index: str, mark: str) -> Version:
    if not MARK.fullmatch(single.get(mark, "")):
        raise Malformed(400, f"{mark}: not a mark", framing_intact=True)
    return Version(query_number(single, index, MAX_INDEX), single.get(mark, ""))


# --- reply ---------------------------------------------------------------------------------------


def encode_rows(entries: Entries) -> list[dict[str, Any]]:
    return [{"scope": key.scope, "kind": key.kind, "value": value} for key, value in entries.items()]


def encode_reply(reply: Reply) -> bytes:
    return orjson.dumps(
        {
            "index": reply.version.index,
            "mark": reply.version.mark,
            "snapshot": reply.is_snapshot,
            "since": reply.since.index,
            "since_mark": reply.since.mark,
            "spread_ms": reply.spread_ms,
            "entries": encode_rows(reply.entries),
        }
    )


def decode_reply(answer: Answer) -> Reply:
    """Raises Garbled, and nothing else, for any invalid reply."""
    if answer.status != 200:
        raise Garbled(f"configuration: the relay answered with status {answer.status}")
    if len(answer.body) > MAX_REPLY_BYTES:
        raise Garbled("configuration: the reply is too large")
    table = parse_table(answer.body)
    is_snapshot = table.get("snapshot")
    if not isinstance(is_snapshot, bool):
        raise Garbled("configuration: snapshot is neither true nor false")
    return Reply(
        read_version(table, "index", "mark"),
        is_snapshot,
        read_rows(table.get("entries"), allow_null=not is_snapshot),
        read_version(table, "since", "since_mark"),
        whole_number(table, "spread_ms", MAX_SPREAD_MS),
    )


def parse_table(body: bytes) -> dict[str, Any]:
    try:
        table = orjson.loads(body)
    except (orjson.JSONDecodeError, RecursionError) as error:
        raise Garbled(f"configuration: {error}") from error
    if not isinstance(table, dict):
        raise Garbled("configuration: not a table")
    return table


def whole_number(table: dict[str, Any], key: str, maximum: int) -> int:
    value = table.get(key)
    if type(value) is not int or not 0 <= value <= maximum:
        raise Garbled(f"configuration: {key} is not a whole number from 0 to {maximum}")
    return value


def read_version(table: dict[str, Any], index: str, mark: str) -> Version:
    value = table.get(mark)
    if not isinstance(value, str) or not MARK.fullmatch(value):
        raise Garbled(f"configuration: {mark} is not a mark")
    return Version(whole_number(table, index, MAX_INDEX), value)


def read_rows(rows: Any, allow_null: bool) -> Entries:
    """Entries from a list of rows. With `allow_null` a value may be null, which removes the entry."""
    if not isinstance(rows, list):
        raise Garbled("configuration: entries are not a list")
    entries: Entries = {}
    for row in rows:
        if not isinstance(row, dict) or "value" not in row:
            raise Garbled("configuration: an entry without a value")
        scope, kind, value = row.get("scope"), row.get("kind"), row["value"]
        if not isinstance(scope, str) or not is_valid_scope(scope):
            raise Garbled("configuration: an entry's scope is not a scope")
        if not isinstance(kind, str) or not is_well_formed_kind(kind):
            raise Garbled(f"configuration: an entry's kind under {scope} is not a kind")
        key = Key(scope, kind)
        if key in entries:
            raise Garbled(f"configuration: {scope} {kind} comes twice")
        if value is None and not allow_null:
            raise Garbled(f"configuration: {scope} {kind} has no value")
        if not within_depth(value):
            raise Garbled(f"configuration: {scope} {kind} is nested more than {MAX_DEPTH} deep")
        entries[key] = value
    return entries


def within_depth(value: Any) -> bool:
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [
            one
            for part in level
            if isinstance(part, dict | list)
            for one in (part.values() if isinstance(part, dict) else part)
        ]
        if not level:
            return True
    return not any(isinstance(part, dict | list) for part in level)


def decode_push(table: Any) -> Entries:
    """Entries from the body of a push, `{"entries": [...]}`; null removes an entry. Raises Garbled with one
    line."""
    if not isinstance(table, dict):
        raise Garbled("configuration: not a table")
    if other := sorted(set(table) - {"entries"}, key=str):
        raise Garbled(f"configuration: {other[0]!r:.60} is not known")
    entries = read_rows(table.get("entries"), allow_null=True)
    for key in entries:
        if not is_valid_kind(key.kind):
            raise Garbled(f"configuration: {key.scope} {key.kind}: no such kind")
    return entries
