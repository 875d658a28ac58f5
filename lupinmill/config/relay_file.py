"""The configuration file of a relay or source: TOML, parsed into a closed type.

A file without `upstreams` is the source: only it accepts pushes, and all relays follow it. Every error is one
line that names the key.
"""

from __future__ import annotations

import math
from typing import Any

from msgspec import Struct

from lupinmill.protocol import config_file
from lupinmill.protocol.config_file import ConfigFileError
from lupinmill.program.operators_file import MAX_NAME_LENGTH, check_address

MAX_FILE_BYTES = 64 * 1024
MAX_UPSTREAMS = 8


class RelayFile(Struct, forbid_unknown_fields=True, frozen=True):
    name: str
    listen: str  # for watches of sidecars and relays
    keep: str  # file of the last version; a temporary file beside it replaces it
    operator: str = ""  # for operators' requests and, at a source, pushes
    upstreams: list[str] = []  # sources or relays, with failover between them; empty: this is the source
    sidecars: int = 400  # expected watchers
    calls_per_s: float = 200.0  # accepted rate when all of them reconnect after a restart
    most_watchers: int = 1_000  # at a time; more are told to retry later
    memory_mb: float = 64.0  # for replies being sent

    @property
    def is_source(self) -> bool:
        return not self.upstreams

    @property
    def spread_ms(self) -> int:
        """Period over which clients that lost this relay reconnect."""
        return math.ceil(1000 * self.sidecars / self.calls_per_s)


def read(path: str) -> RelayFile:
    """Raises ConfigFileError."""
    return config_file.read(path, MAX_FILE_BYTES, parse)


def parse(table: dict[str, Any]) -> RelayFile:
    """Raises ConfigFileError."""
    file = config_file.convert(table, RelayFile)
    check(file)
    return file


def check(file: RelayFile) -> None:
    if not 0 < len(file.name.encode()) <= MAX_NAME_LENGTH or not file.name.isprintable():
        raise ConfigFileError(f"name: must be 1 to {MAX_NAME_LENGTH} printable bytes")
    check_address(file.listen, "listen")
    if file.operator:
        check_address(file.operator, "operator")
        if file.operator == file.listen:
            raise ConfigFileError("operator: must differ from `listen`; operators need a separate address")
    elif file.is_source:
        raise ConfigFileError(
            "operator: missing; without it nobody can push to a source (a file without upstreams)"
        )
    if not file.keep.startswith("/"):
        raise ConfigFileError("keep: must be an absolute path")
    if len(file.upstreams) > MAX_UPSTREAMS:
        raise ConfigFileError(f"upstreams: must be at most {MAX_UPSTREAMS}")
    for index, upstream in enumerate(file.upstreams):
        check_address(upstream, f"upstreams.{index}")
        if upstream == file.listen:
            raise ConfigFileError(f"upstreams.{index}: is `listen`, the relay's own address")
        if upstream in file.upstreams[:index]:
            raise ConfigFileError(f"upstreams.{index}: {upstream} is listed twice")
    for key, value, minimum, maximum in (
        ("sidecars", file.sidecars, 1, 100_000),
        ("calls_per_s", file.calls_per_s, 1, 100_000),
        ("most_watchers", file.most_watchers, 1, 20_000),
        ("memory_mb", file.memory_mb, 32, 4_096),
    ):
        if not minimum <= value <= maximum:
            raise ConfigFileError(f"{key}: must be {minimum} to {maximum}")


def describe(file: RelayFile) -> list[str]:
    """Lines for an operator that say what a relay with this file does."""
    if file.is_source:
        lines = [f"{file.name} is a source: accepts pushes at {file.operator}, saves them in {file.keep}"]
    else:
        lines = [f"{file.name} follows {' or '.join(file.upstreams)} and saves versions in {file.keep}"]
        if len(file.upstreams) == 1:
            lines.append("caution: one upstream; while it is unavailable no new versions arrive")
    lines.append(
        f"{file.sidecars} sidecars are expected at {file.listen}, {file.most_watchers} watchers accepted; "
        f"after a restart they reconnect over {file.spread_ms / 1000:g} s, {file.calls_per_s:g} per second"
    )
    if file.most_watchers < file.sidecars:
        lines.append("caution: most_watchers is less than sidecars: some will be rejected")
    lines.append("the network must be trusted: connections are neither encrypted nor authenticated")
    return lines
