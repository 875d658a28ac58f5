"""The file of one relay, or of the source: TOML, read into a closed type.

What has no `upstreams` is the source: it alone takes pushes, and all others follow it. Every fault is one
line that names the key."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import msgspec
from msgspec import Struct

from lupinmill.program.operators_file import MAX_NAME_LENGTH, ConfigFileError, known_keys, check_address

LARGEST = 64 * 1024  # bytes of the file
MOST_UPSTREAMS = 8


class RelayFile(Struct, forbid_unknown_fields=True, frozen=True):
    name: str
    listen: str  # where sidecars and other relays watch
    keep: str  # the file of the last state; beside it a new one is written before it takes its place
    operator: str = ""  # where operators ask and, at the source, push
    upstreams: list[
        str
    ] = []  # sources or relays, another one asked when one is silent; none: this is the source
    sidecars: int = 400  # that are expected to watch here
    calls_per_s: float = 200.0  # that it takes after a restart, when all of them come again
    most_watchers: int = 1_000  # at a time; one more is told to come again
    memory_mb: float = 64.0  # of answers on their way, all together

    @property
    def source(self) -> bool:
        return not self.upstreams

    @property
    def spread_ms(self) -> int:
        """Over so long callers that lost this relay are to come again."""
        return math.ceil(1000 * self.sidecars / self.calls_per_s)


def read(path: str) -> RelayFile:
    """Raises ConfigFileError."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigFileError(f"{path}: {error.strerror}") from error
    try:
        if len(data) > LARGEST:
            raise ConfigFileError(f"over {LARGEST} bytes")
        return understand(tomllib.loads(data.decode()))
    except UnicodeDecodeError as error:
        raise ConfigFileError(f"{path}: no UTF-8") from error
    except (tomllib.TOMLDecodeError, ConfigFileError) as error:
        raise ConfigFileError(f"{path}: {error}") from error


def understand(table: dict[str, object]) -> RelayFile:
    known_keys(table, RelayFile, "")
    try:
        file = msgspec.convert(table, RelayFile)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise ConfigFileError(f"{place.rstrip('`').lstrip('.') or 'the file'}: {text}") from error
    check(file)
    return file


def check(file: RelayFile) -> None:
    if not 0 < len(file.name.encode()) <= MAX_NAME_LENGTH or not file.name.isprintable():
        raise ConfigFileError(f"name: wants 1 to {MAX_NAME_LENGTH} bytes")
    check_address(file.listen, "listen")
    if file.operator:
        check_address(file.operator, "operator")
        if file.operator == file.listen:
            raise ConfigFileError("operator: is `listen`; operators need an address of their own")
    elif file.source:
        raise ConfigFileError(
            "operator: missing; without it nobody can push to a source (a file without upstreams)"
        )
    if not file.keep.startswith("/"):
        raise ConfigFileError("keep: wants a whole path")
    if len(file.upstreams) > MOST_UPSTREAMS:
        raise ConfigFileError(f"upstreams: wants {MOST_UPSTREAMS} at most")
    for at, upstream in enumerate(file.upstreams):
        check_address(upstream, f"upstreams.{at}")
        if upstream == file.listen:
            raise ConfigFileError(f"upstreams.{at}: is `listen`, this relay itself")
        if upstream in file.upstreams[:at]:
            raise ConfigFileError(f"upstreams.{at}: {upstream} is named twice")
    for key, value, least, most in (
        ("sidecars", file.sidecars, 1, 100_000),
        ("calls_per_s", file.calls_per_s, 1, 100_000),
        ("most_watchers", file.most_watchers, 1, 20_000),
        ("memory_mb", file.memory_mb, 32, 4_096),
    ):
        if not least <= value <= most:
            raise ConfigFileError(f"{key}: wants {least} to {most}")


def follows(file: RelayFile) -> list[str]:
    """For a person: what it will do."""
    if file.source:
        lines = [f"{file.name} is a source: pushes are taken at {file.operator} and kept in {file.keep}"]
    else:
        lines = [f"{file.name} follows {' or '.join(file.upstreams)} and keeps the last state in {file.keep}"]
        if len(file.upstreams) == 1:
            lines.append("caution: one upstream; while that is away nothing new comes here")
    lines.append(
        f"{file.sidecars} sidecars are expected at {file.listen}, {file.most_watchers} watchers are taken; "
        f"after a restart they come again over {file.spread_ms / 1000:g} s, {file.calls_per_s:g} a second"
    )
    if file.most_watchers < file.sidecars:
        lines.append("caution: most_watchers is under sidecars: some will be sent away")
    lines.append("the network must be a trusted one: there are no keys and no sign-in")
    return lines
