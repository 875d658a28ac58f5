"""`lupinmill config`: versioned configuration, asked and changed at the operators' addresses of relays and of
the source.

Exit codes: 0 done, or in force everywhere; 1 refused, or not in force everywhere; 2 no answer, or a file or
an argument that can't be used."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import Any

import click
import msgspec

from lupinmill.cli import asking
from lupinmill.cli.asking import NoAnswer, refuse
from lupinmill.config import push as pushes
from lupinmill.config.model import MAX_REPLY_BYTES
from lupinmill.config.push import InvalidPush
from lupinmill.config.watcher_table import LatencyHistogram

ROOT = "/v1/"
PUBLISHED = 20.0  # seconds for a version to be checked and kept
MOST = 4 * MAX_REPLY_BYTES  # bytes of an answer
NAMED = 12  # of those that lag, at most, in words
AT = click.option(
    "--at",
    "address",
    required=True,
    metavar="HOST:PORT",
    help="The operators' address of a relay or the source.",
)
ALL = click.option(
    "--at",
    "addresses",
    required=True,
    multiple=True,
    metavar="HOST:PORT",
    help="The operators' address of a relay or the source; once for each of them.",
)
IF_INDEX = click.option("--if-index", type=click.IntRange(0), help="Only if this is the present version.")


def ask(address: str, path: str, method: str = "GET", body: bytes | None = None) -> tuple[int, bytes]:
    """Raises NoAnswer."""
    limit = PUBLISHED if method == "POST" else asking.ANSWER
    return asking.call(address, path, method, limit, body, ROOT, MOST)


def table(address: str, path: str) -> dict[str, Any]:
    """Raises NoAnswer."""
    status, data = ask(address, path)
    if status != 200:
        raise NoAnswer(f"{address}: {status} {data[:200].decode('utf-8', 'replace').strip()}")
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise NoAnswer(f"{address}: {error}") from error


# --- what is summed ------------------------------------------------------------------------------


def summed(tables: list[dict[str, Any]]) -> dict[str, Any]:
    """Of several relays: each that watches counts once, as the relay says that heard it last."""
    newest = max(one["index"] for one in tables)
    rows: dict[str, dict[str, Any]] = {}
    for one in tables:
        for row in one["watchers"]:
            known = rows.get(row["name"])
            if known is None or (row["away"], row["heard_s"]) < (known["away"], known["heard_s"]):
                rows[row["name"]] = row | {"at": one["name"], "relay_index": one["index"]}
    found: dict[str, Any] = {"index": newest, "in_force": [], "lags": [], "refuses": [], "away": []}
    relays = {one["name"] for one in tables}
    for row in rows.values():
        if row["relay"] or row["name"] in relays:
            continue
        if row["away"]:
            state = "away"
        elif row["refused"] > row["index"]:
            state = "refuses"
        else:
            state = "in_force" if row["index"] >= row["due"] and row["relay_index"] == newest else "lags"
        found[state].append(row)
    found["of"] = sum(len(found[state]) for state in ("in_force", "lags", "refuses", "away"))
    found["time_in_force"] = merged([one["in_force"] for one in tables])
    found["time_at_relays"] = merged([one["at_relays"] for one in tables])
    apart = ("watchers", "in_force", "at_relays")
    found["relays"] = [{key: one[key] for key in one if key not in apart} for one in tables]
    return found


def merged(shown: list[dict[str, Any]]) -> dict[str, Any]:
    """Times of several relays as one, by their classes."""
    times = LatencyHistogram()
    for one in shown:
        classes = {int(at): count for at, count in one["classes"].items()}
        times.merge(classes, round((one["last_ms"] or 0) * 1000))
    return times.show()


def whole(found: dict[str, Any]) -> bool:
    behind = any(one["index"] < found["index"] or one["ahead"] for one in found["relays"])
    return not (found["lags"] or found["refuses"] or found["away"] or behind)


def in_words(found: dict[str, Any]) -> list[str]:
    lines = [f"version {found['index']}: in force at {len(found['in_force'])} of {found['of']} sidecars"]
    for what, key in (("time in force", "time_in_force"), ("time to the relays", "time_at_relays")):
        if (times := found[key])["count"]:
            lines.append(
                f"{what}: p50 {times['p50_ms']:g} ms, p99 {times['p99_ms']:g} ms, "
                f"last {times['last_ms']:g} ms, of {times['count']}"
            )
    for row in found["refuses"][:NAMED]:
        lines.append(f"  {row['name']} refuses {row['refused']}, stays at {row['index']}: {row['why']}")
    for state, words in (("lags", "lags"), ("away", "is away")):
        for row in found[state][:NAMED]:
            due = max(row["due"], row["relay_index"])
            lines.append(
                f"  {row['name']} {words}: at {row['index']} of {due}, "
                f"heard {row['heard_s']} s ago by {row['at']}"
            )
    for state in ("refuses", "lags", "away"):
        if len(found[state]) > NAMED:
            lines.append(f"  and {len(found[state]) - NAMED} more: {state}")
    for one in found["relays"]:
        lines.append(
            f"{one['role']} {one['name']}: version {one['index']}, {one['kept']} on disk"
            + (f" (the disk refuses: {one['keep_failing']})" if one["keep_failing"] else "")
            + f", {one['waiting']} wait, {one['cut_off']} were cut off, {one['turned_away']} turned away"
        )
        if one["ahead"]:
            lines.append(
                f"caution: {one['name']} has heard of version {one['ahead']}, which it never had: a source "
                "came back from an older backup, or there are two; `lupinmill config restore` at the source"
            )
    return lines


# --- commands ------------------------------------------------------------------------------------


@click.group()
def config() -> None:
    """Versioned configuration, in force in running sidecars."""


@config.command()
@ALL
@click.option("--json", "as_json", is_flag=True, help="All figures and names, for programs.")
def status(addresses: tuple[str, ...], as_json: bool) -> None:
    """Version in force at how many of how many, who lags, who refuses and why. Ask relays and the source."""
    tables, silent = [], []
    for address in dict.fromkeys(addresses):
        try:
            tables.append(table(address, "status"))
        except NoAnswer as error:
            silent.append(str(error))
    if not tables:
        refuse(NoAnswer("; ".join(silent)))
    found = summed(tables) | {"no_answer": silent}
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(found)).decode())
    else:
        click.echo("\n".join([*in_words(found), *(f"no answer: {one}" for one in silent)]))
    sys.exit(2 if silent else 0 if whole(found) else 1)


@config.command()
@AT
@click.option("--scope", "scopes", multiple=True, help="Only of this one, as service/tender; may come again.")
@click.option("--json", "as_json", is_flag=True, help="As rows, for programs.")
def show(address: str, scopes: tuple[str, ...], as_json: bool) -> None:
    """All entries of the version there."""
    try:
        found = table(address, "entries")
    except NoAnswer as error:
        refuse(error)
    rows = [row for row in found["entries"] if not scopes or row["scope"] in scopes]
    if as_json:
        text = {"index": found["index"], "mark": found["mark"], "entries": rows}
        click.echo(msgspec.json.format(msgspec.json.encode(text)).decode())
        return
    click.echo(f"version {found['index']}, {len(rows)} entries")
    for row in sorted(rows, key=lambda row: (row["scope"], row["kind"])):
        click.echo(f"{row['scope']} {row['kind']} {msgspec.json.encode(row['value']).decode()}")


def publish(address: str, path: str, body: bytes | None = None) -> None:
    try:
        status, data = ask(address, path, "POST", body)
        text = data.decode("utf-8", "replace").strip()
        if status == 200:
            text = f"version {msgspec.json.decode(data)['index']}"
    except (NoAnswer, msgspec.DecodeError, KeyError, TypeError) as error:
        refuse(error if isinstance(error, NoAnswer) else NoAnswer(f"{address}: no answer of a source"))
    click.echo(text if status == 200 else f"lupinmill: {text}", err=status != 200)
    sys.exit(0 if status == 200 else 1)


@config.command()
@click.argument("path", metavar="FILE")
@AT
@IF_INDEX
def push(path: str, address: str, if_index: int | None) -> None:
    """Publish the entries of FILE, TOML or JSON, as the next version. Checked by the source first."""
    try:
        entries = pushes.parse_entries(read(path))
    except InvalidPush as error:
        refuse(InvalidPush(f"{path}: {error}"))
    rows = [{"scope": key.scope, "kind": key.kind, "value": value} for key, value in entries.items()]
    body: dict[str, Any] = {"entries": rows}
    if if_index is not None:
        body["if_index"] = if_index
    publish(address, "push", msgspec.json.encode(body))


@config.command()
@click.argument("index", type=click.IntRange(0))
@AT
@IF_INDEX
def rollback(index: int, address: str, if_index: int | None) -> None:
    """Publish the content of version INDEX as the next one."""
    publish(address, f"rollback?to={index}" + ("" if if_index is None else f"&if_index={if_index}"))


@config.command()
@AT
def restore(address: str) -> None:
    """Publish what the source has beyond all versions heard of: after it came back from an older backup."""
    publish(address, "restore")


def read(path: str) -> dict[str, Any]:
    """Raises BadPush."""
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_REPLY_BYTES:
            raise InvalidPush(f"over {MAX_REPLY_BYTES} bytes")
        if path.endswith(".json"):
            found = msgspec.json.decode(data)
            if not isinstance(found, dict):
                raise InvalidPush("wants a table")
            return found
        return tomllib.loads(data.decode())
    except OSError as error:
        raise InvalidPush(str(error.strerror)) from error
    except UnicodeDecodeError as error:
        raise InvalidPush("no UTF-8") from error
    except (tomllib.TOMLDecodeError, msgspec.DecodeError) as error:
        raise InvalidPush(str(error)) from error
