"""`lupinmill config`: queries and changes versioned configuration, at the admin addresses of relays and of
the source.

Exit codes: 0 done, or in force everywhere; 1 refused, or not in force everywhere; 2 no answer, or an invalid
file or argument."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import Any

import click
import msgspec

from lupinmill.cli import admin_client
from lupinmill.cli.admin_client import AdminCallFailed, exit_with_error
from lupinmill.config import push as push_files
from lupinmill.config.model import MAX_REPLY_BYTES
from lupinmill.config.push import InvalidPush
from lupinmill.config.watcher_table import LatencyHistogram

BASE_PATH = "/v1/"
PUBLISH_TIMEOUT_S = 20.0  # for the source to check and store a version
MAX_ANSWER_BYTES = 4 * MAX_REPLY_BYTES
MAX_LISTED = 12  # sidecars named per state
ADDRESS_OPTION = click.option(
    "--at",
    "address",
    required=True,
    metavar="HOST:PORT",
    help="The admin address of a relay or the source.",
)
ADDRESSES_OPTION = click.option(
    "--at",
    "addresses",
    required=True,
    multiple=True,
    metavar="HOST:PORT",
    help="The admin address of a relay or the source; may be repeated.",
)
IF_INDEX_OPTION = click.option(
    "--if-index", type=click.IntRange(0), help="Only if this is the current version."
)


def send_call(address: str, path: str, method: str = "GET", body: bytes | None = None) -> tuple[int, bytes]:
    """Raises AdminCallFailed."""
    timeout = PUBLISH_TIMEOUT_S if method == "POST" else admin_client.TIMEOUT_S
    return admin_client.send_call(address, path, method, timeout, body, BASE_PATH, MAX_ANSWER_BYTES)


def fetch_table(address: str, path: str) -> dict[str, Any]:
    """Returns the JSON object at the path. Raises AdminCallFailed."""
    status, data = send_call(address, path)
    if status != 200:
        raise AdminCallFailed(f"{address}: {status} {data[:200].decode('utf-8', 'replace').strip()}")
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise AdminCallFailed(f"{address}: {error}") from error


# --- aggregation ---------------------------------------------------------------------------------


def summarize(tables: list[dict[str, Any]]) -> dict[str, Any]:
    """Combines the status of several relays: each watcher counts once, as seen by the latest relay."""
    newest = max(table["index"] for table in tables)
    rows: dict[str, dict[str, Any]] = {}
    for table in tables:
        for row in table["watchers"]:
            known = rows.get(row["name"])
            if known is None or (row["away"], row["heard_s"]) < (known["away"], known["heard_s"]):
                rows[row["name"]] = row | {"at": table["name"], "relay_index": table["index"]}
    report: dict[str, Any] = {"index": newest, "in_force": [], "lags": [], "refuses": [], "away": []}
    relays = {table["name"] for table in tables}
    for row in rows.values():
        if row["relay"] or row["name"] in relays:
            continue
        if row["away"]:
            state = "away"
        elif row["refused"] > row["index"]:
            state = "refuses"
        else:
            state = "in_force" if row["index"] >= row["due"] and row["relay_index"] == newest else "lags"
        report[state].append(row)
    report["of"] = sum(len(report[state]) for state in ("in_force", "lags", "refuses", "away"))
    report["time_in_force"] = merge_times([table["in_force"] for table in tables])
    report["time_at_relays"] = merge_times([table["at_relays"] for table in tables])
    apart = ("watchers", "in_force", "at_relays")
    report["relays"] = [{key: table[key] for key in table if key not in apart} for table in tables]
    return report


def merge_times(histograms: list[dict[str, Any]]) -> dict[str, Any]:
    """Merges the time histograms of several relays."""
    times = LatencyHistogram()
    for histogram in histograms:
        classes = {int(at): count for at, count in histogram["classes"].items()}
        times.merge(classes, round((histogram["last_ms"] or 0) * 1000))
    return times.show()


def in_force_everywhere(report: dict[str, Any]) -> bool:
    behind = any(relay["index"] < report["index"] or relay["ahead"] for relay in report["relays"])
    return not (report["lags"] or report["refuses"] or report["away"] or behind)


def describe(report: dict[str, Any]) -> list[str]:
    lines = [f"version {report['index']}: in force at {len(report['in_force'])} of {report['of']} sidecars"]
    for what, key in (("time in force", "time_in_force"), ("time to the relays", "time_at_relays")):
        if (times := report[key])["count"]:
            lines.append(
                f"{what}: p50 {times['p50_ms']:g} ms, p99 {times['p99_ms']:g} ms, "
                f"last {times['last_ms']:g} ms, of {times['count']}"
            )
    for row in report["refuses"][:MAX_LISTED]:
        lines.append(f"  {row['name']} refuses {row['refused']}, stays at {row['index']}: {row['why']}")
    for state, words in (("lags", "lags"), ("away", "is away")):
        for row in report[state][:MAX_LISTED]:
            due = max(row["due"], row["relay_index"])
            lines.append(
                f"  {row['name']} {words}: at {row['index']} of {due}, "
                f"heard {row['heard_s']} s ago by {row['at']}"
            )
    for state in ("refuses", "lags", "away"):
        if len(report[state]) > MAX_LISTED:
            lines.append(f"  and {len(report[state]) - MAX_LISTED} more: {state}")
    for relay in report["relays"]:
        lines.append(
            f"{relay['role']} {relay['name']}: version {relay['index']}, {relay['kept']} on disk"
            + (f" (the disk refuses: {relay['keep_failing']})" if relay["keep_failing"] else "")
            + f", {relay['waiting']} wait, {relay['cut_off']} were cut off, "
            f"{relay['turned_away']} turned away"
        )
        if relay["ahead"]:
            lines.append(
                f"caution: {relay['name']} has seen references to version {relay['ahead']}, "
                "which it never had: a source came back from an older backup, or there are two; run "
                "`lupinmill config restore` at the source"
            )
    return lines


# --- commands ------------------------------------------------------------------------------------


@click.group()
def config() -> None:
    """Versioned configuration of running sidecars."""


@config.command()
@ADDRESSES_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print all figures and names as JSON.")
def status(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show where the version is in force, who lags, and who refuses it and why. Ask relays and the source."""
    tables, unreachable = [], []
    for address in dict.fromkeys(addresses):
        try:
            tables.append(fetch_table(address, "status"))
        except AdminCallFailed as error:
            unreachable.append(str(error))
    if not tables:
        exit_with_error(AdminCallFailed("; ".join(unreachable)))
    report = summarize(tables) | {"no_answer": unreachable}
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(report)).decode())
    else:
        click.echo("\n".join([*describe(report), *(f"no answer: {one}" for one in unreachable)]))
    sys.exit(2 if unreachable else 0 if in_force_everywhere(report) else 1)


@config.command()
@ADDRESS_OPTION
@click.option(
    "--scope", "scopes", multiple=True, help="Only this scope, such as service/tender; may be repeated."
)
@click.option("--json", "as_json", is_flag=True, help="Print the rows as JSON.")
def show(address: str, scopes: tuple[str, ...], as_json: bool) -> None:
    """Show all entries of the version at an address."""
    try:
        table = fetch_table(address, "entries")
    except AdminCallFailed as error:
        exit_with_error(error)
    rows = [row for row in table["entries"] if not scopes or row["scope"] in scopes]
    if as_json:
        text = {"index": table["index"], "mark": table["mark"], "entries": rows}
        click.echo(msgspec.json.format(msgspec.json.encode(text)).decode())
        return
    click.echo(f"version {table['index']}, {len(rows)} entries")
    for row in sorted(rows, key=lambda row: (row["scope"], row["kind"])):
        click.echo(f"{row['scope']} {row['kind']} {msgspec.json.encode(row['value']).decode()}")


def publish_version(address: str, path: str, body: bytes | None = None) -> None:
    try:
        status, data = send_call(address, path, "POST", body)
        text = data.decode("utf-8", "replace").strip()
        if status == 200:
            text = f"version {msgspec.json.decode(data)['index']}"
    except (AdminCallFailed, msgspec.DecodeError, KeyError, TypeError) as error:
        exit_with_error(
            error
            if isinstance(error, AdminCallFailed)
            else AdminCallFailed(f"{address}: the answer is not one of a source")
        )
    click.echo(text if status == 200 else f"lupinmill: {text}", err=status != 200)
    sys.exit(0 if status == 200 else 1)


@config.command()
@click.argument("path", metavar="FILE")
@ADDRESS_OPTION
@IF_INDEX_OPTION
def push(path: str, address: str, if_index: int | None) -> None:
    """Publish the entries of FILE (TOML or JSON) as the next version, after the source has checked them."""
    try:
        entries = push_files.parse_entries(read_entries_file(path))
    except InvalidPush as error:
        exit_with_error(InvalidPush(f"{path}: {error}"))
    rows = [{"scope": key.scope, "kind": key.kind, "value": value} for key, value in entries.items()]
    body: dict[str, Any] = {"entries": rows}
    if if_index is not None:
        body["if_index"] = if_index
    publish_version(address, "push", msgspec.json.encode(body))


@config.command()
@click.argument("index", type=click.IntRange(0))
@ADDRESS_OPTION
@IF_INDEX_OPTION
def rollback(index: int, address: str, if_index: int | None) -> None:
    """Publish the content of version INDEX as the next version."""
    publish_version(address, f"rollback?to={index}" + ("" if if_index is None else f"&if_index={if_index}"))


@config.command()
@ADDRESS_OPTION
def restore(address: str) -> None:
    """Publish the source's content above all known versions, after a restore from an older backup."""
    publish_version(address, "restore")


def read_entries_file(path: str) -> dict[str, Any]:
    """Raises InvalidPush."""
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_REPLY_BYTES:
            raise InvalidPush(f"larger than {MAX_REPLY_BYTES} bytes")
        if path.endswith(".json"):
            content = msgspec.json.decode(data)
            if not isinstance(content, dict):
                raise InvalidPush("must be a table")
            return content
        return tomllib.loads(data.decode())
    except OSError as error:
        raise InvalidPush(str(error.strerror)) from error
    except UnicodeDecodeError as error:
        raise InvalidPush("not valid UTF-8") from error
    except (tomllib.TOMLDecodeError, msgspec.DecodeError) as error:
        raise InvalidPush(str(error)) from error
