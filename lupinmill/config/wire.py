"""The watch on configuration on HTTP/1.1, in the published form of discovery's: `index`, `wait`, a snapshot
or changes. Pure: requests and answers to and from what `model` says. Whatever the bytes, one error a
direction: `Malformed` for requests, `Garbled` for answers."""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import parse_qsl, quote

import orjson

from lupinmill.config.model import (
    LARGEST,
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
MOST_SCOPES = 64  # in one watch
LONGEST_WAIT = 60_000  # milliseconds
LONGEST_WHY = 200  # characters of a refusal's reason
LONGEST_SPREAD = 600_000  # milliseconds
DEEPEST = 32  # nesting of a value; orjson writes no more than 254
HIGHEST = 2**53 - 1  # index
WORD = re.compile(r"[a-z][a-z_-]{0,31}")
MARK = re.compile(r"[A-Za-z0-9._-]{0,32}")
DIGITS = re.compile(r"[0-9]{1,16}")
ONCE = ("index", "mark", "wait", "name", "in_force", "in_force_mark", "refused", "why", "ahead", "ahead_mark")


def good_name(text: str) -> bool:
    """1 to 64 bytes that can be shown, as members' names in the operators' file."""
    return text.isprintable() and 0 < len(text.encode()) <= 64


def good_scope(text: str) -> bool:
    """`fleet`, or `region/NAME`, `zone/NAME`, `service/NAME`, `sidecar/NAME`."""
    level, slash, name = text.partition("/")
    return text == "fleet" if level == "fleet" else level in SCOPES and bool(slash) and good_name(name)


def good_kind(text: str) -> bool:
    """One that a source of this release publishes."""
    return text in (SETTINGS, ZONES) or text.startswith(MEMBER) and good_name(text[len(MEMBER) :])


def formed_kind(text: str) -> bool:
    """One that a relay passes on: a later release may have kinds that this one knows nothing of."""
    word, slash, name = text.partition("/")
    return WORD.fullmatch(word) is not None and (not slash or good_name(name))


# --- the call ------------------------------------------------------------------------------------


def call(since: Version, wait_ms: int, scopes: tuple[str, ...], status: Status) -> Request:
    """A watch from this version on; from index 0 the snapshot. Without scopes: all of them."""
    asked = [("index", str(since.index)), ("mark", since.mark), ("wait", str(wait_ms))]
    asked += [("scope", scope) for scope in scopes]
    asked += [
        ("name", status.name),
        ("in_force", str(status.in_force.index)),
        ("in_force_mark", status.in_force.mark),
    ]
    if status.refused:
        why = status.why[:LONGEST_WHY].encode("utf-8", "replace").decode()
        asked += [("refused", str(status.refused)), ("why", why)]
    if status.ahead.index:
        asked += [("ahead", str(status.ahead.index)), ("ahead_mark", status.ahead.mark)]
    query = "&".join(f"{key}={quote(value, safe='/')}" for key, value in asked)
    return Request(b"GET", PATH + b"?" + query.encode(), [(b"Host", b"config")])


class Watch:
    """What a call asks for."""

    __slots__ = ("since", "wait_ms", "scopes", "status")

    def __init__(self, since: Version, wait_ms: int, scopes: tuple[str, ...], status: Status) -> None:
        self.since, self.wait_ms, self.scopes, self.status = since, wait_ms, scopes, status


def asked(request: Request) -> Watch:
    """Raises Malformed with what is wrong; nothing else, whatever came."""
    if request.method != b"GET":
        raise Malformed(405, "only GET", framing_intact=True)
    path, _, query = request.target.partition(b"?")
    if path != PATH:
        raise Malformed(404, "no such path", framing_intact=True)
    if request.body:
        raise Malformed(400, "a watch has no body", framing_intact=True)
    once, scopes = fields(query)
    name = once.get("name", "")
    if not good_name(name):
        raise Malformed(400, "name: none, or not a name", framing_intact=True)
    status = Status(
        name,
        version_in(once, "in_force", "in_force_mark"),
        number(once, "refused", HIGHEST),
        once.get("why", ""),
        version_in(once, "ahead", "ahead_mark"),
    )
    if len(status.why) > LONGEST_WHY:
        raise Malformed(400, f"why: over {LONGEST_WHY} characters", framing_intact=True)
    wait = min(LONGEST_WAIT, number(once, "wait", HIGHEST))
    return Watch(version_in(once, "index", "mark"), wait, scopes, status)


def fields(query: bytes) -> tuple[dict[str, str], tuple[str, ...]]:
    try:
        pairs = parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors="strict",
            max_num_fields=MOST_SCOPES + len(ONCE),
        )
    except ValueError as error:  # also bytes that are no ASCII, escapes that are no UTF-8
        raise Malformed(400, "query: can't be read", framing_intact=True) from error
    once: dict[str, str] = {}
    scopes: dict[str, None] = {}
    for key, value in pairs:
        if key == "scope":
            if not good_scope(value):
                raise Malformed(400, "scope: not a scope", framing_intact=True)
            scopes[value] = None
        elif key not in ONCE:
            raise Malformed(400, "query: a key that is not known", framing_intact=True)
        elif key in once:
            raise Malformed(400, f"{key}: given twice", framing_intact=True)
        else:
            once[key] = value
    if len(scopes) > MOST_SCOPES:
        raise Malformed(400, f"scope: over {MOST_SCOPES}", framing_intact=True)
    return once, tuple(scopes)


def number(once: dict[str, str], key: str, most: int) -> int:
    value = once.get(key, "0")
    if not DIGITS.fullmatch(value) or int(value) > most:
        raise Malformed(400, f"{key}: not a whole number from 0 to {most}", framing_intact=True)
    return int(value)


def version_in(once: dict[str, str], index: str, mark: str) -> Version:
    if not MARK.fullmatch(once.get(mark, "")):
        raise Malformed(400, f"{mark}: not a mark", framing_intact=True)
    return Version(number(once, index, HIGHEST), once.get(mark, ""))


# --- the answer ----------------------------------------------------------------------------------


def rows(entries: Entries) -> list[dict[str, Any]]:
    return [{"scope": key.scope, "kind": key.kind, "value": value} for key, value in entries.items()]


def encode(reply: Reply) -> bytes:
    return orjson.dumps(
        {
            "index": reply.version.index,
            "mark": reply.version.mark,
            "snapshot": reply.whole,
            "since": reply.since.index,
            "since_mark": reply.since.mark,
            "spread_ms": reply.spread_ms,
            "entries": rows(reply.entries),
        }
    )


def decode(answer: Answer) -> Reply:
    """Raises Garbled for anything but a good answer; nothing else, whatever came."""
    if answer.status != 200:
        raise Garbled(f"a watch on configuration was answered {answer.status}")
    if len(answer.body) > LARGEST:
        raise Garbled("configuration: the answer is too large")
    table = parsed(answer.body)
    whole = table.get("snapshot")
    if not isinstance(whole, bool):
        raise Garbled("configuration: snapshot is neither true nor false")
    return Reply(
        read_version(table, "index", "mark"),
        whole,
        read_rows(table.get("entries"), gone=not whole),
        read_version(table, "since", "since_mark"),
        whole_number(table, "spread_ms", LONGEST_SPREAD),
    )


def parsed(body: bytes) -> dict[str, Any]:
    try:
        table = orjson.loads(body)
    except (orjson.JSONDecodeError, RecursionError) as error:
        raise Garbled(f"configuration: {error}") from error
    if not isinstance(table, dict):
        raise Garbled("configuration: not a table")
    return table


def whole_number(table: dict[str, Any], key: str, most: int) -> int:
    value = table.get(key)
    if type(value) is not int or not 0 <= value <= most:
        raise Garbled(f"configuration: {key} is not a whole number from 0 to {most}")
    return value


def read_version(table: dict[str, Any], index: str, mark: str) -> Version:
    value = table.get(mark)
    if not isinstance(value, str) or not MARK.fullmatch(value):
        raise Garbled(f"configuration: {mark} is not a mark")
    return Version(whole_number(table, index, HIGHEST), value)


def read_rows(found: Any, gone: bool) -> Entries:
    """The entries of a list of rows; `gone`: a value may be null, which takes the entry away."""
    if not isinstance(found, list):
        raise Garbled("configuration: entries are not a list")
    entries: Entries = {}
    for row in found:
        if not isinstance(row, dict) or "value" not in row:
            raise Garbled("configuration: an entry without a value")
        scope, kind, value = row.get("scope"), row.get("kind"), row["value"]
        if not isinstance(scope, str) or not good_scope(scope):
            raise Garbled("configuration: an entry's scope is not a scope")
        if not isinstance(kind, str) or not formed_kind(kind):
            raise Garbled(f"configuration: an entry's kind under {scope} is not a kind")
        key = Key(scope, kind)
        if key in entries:
            raise Garbled(f"configuration: {scope} {kind} comes twice")
        if value is None and not gone:
            raise Garbled(f"configuration: {scope} {kind} has no value")
        if not shallow(value):
            raise Garbled(f"configuration: {scope} {kind} is nested more than {DEEPEST} deep")
        entries[key] = value
    return entries


def shallow(value: Any) -> bool:
    level = [value]
    for _ in range(DEEPEST):
        level = [
            one
            for part in level
            if isinstance(part, dict | list)
            for one in (part.values() if isinstance(part, dict) else part)
        ]
        if not level:
            return True
    return not any(isinstance(part, dict | list) for part in level)


def config_entries(table: Any) -> Entries:
    """The rows of a push, `{"entries": [...]}`; null takes an entry away. Raises Garbled, in one line."""
    if not isinstance(table, dict):
        raise Garbled("configuration: not a table")
    if other := sorted(set(table) - {"entries"}, key=str):
        raise Garbled(f"configuration: {other[0]!r:.60} is not known")
    entries = read_rows(table.get("entries"), gone=True)
    for key in entries:
        if not good_kind(key.kind):
            raise Garbled(f"configuration: {key.scope} {key.kind}: no such kind")
    return entries
