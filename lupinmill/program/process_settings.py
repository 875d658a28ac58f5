"""What this sidecar is told at its start, from the environment and the file that it names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from math import isfinite
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from lupinmill import terms as t
from lupinmill.protocol import lists, settings
from lupinmill.protocol.http import Garbled
from lupinmill.transport.connection import split_address

if TYPE_CHECKING:
    from lupinmill.program.operators_file import File


LEAST_SOCKETS = 16  # the program's own, one client and one endpoint
LARGEST_LIMIT = 1e9  # descriptors, or megabytes
SOCKETS = 1024  # where no limit is told
UNREADABLE = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    Garbled,
)


class StartupError(Exception):
    """The text is the one line for standard error."""


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    name: str
    listen: str
    discovery: str
    deployment: t.Deployment
    known: lists.EndpointList
    descriptors: int
    memory: int | None  # bytes
    idle_timeout_s: float
    connect_timeout_s: float
    operator: str | None = None  # where operators call
    directory: str | None = None  # common to the processes of an upgrade
    operators: File | None = None  # the operator's own file, where one is named
    settings: dict[str, Any] = field(default_factory=dict)  # as the platform's file has them
    unused: tuple[str, ...] = ()  # keys that ask for what has no use in this shape of deployment


def read(environ: Mapping[str, str], again: bool = False) -> ProcessSettings:
    """Read again, after the start, the file goes before the environment, which can't have changed."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise StartupError("BALANCER_CONFIG is not set")
    try:
        table = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise StartupError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise StartupError(f"{path}: {error}") from error
    if not isinstance(table, dict):
        raise StartupError(f"{path}: not a JSON object")
    try:
        told = parse_settings(table, environ, again)
    except UNREADABLE as error:
        text = f"missing {error}" if isinstance(error, KeyError) else str(error)
        raise StartupError(f"{path}: {' '.join(text.split())[:200]}") from error
    path = environ.get("BALANCER_OPERATOR_FILE")
    return replace(told, operators=read_operator_file(path, told.name, told.deployment)) if path else told


def read_operator_file(path: str, name: str, deployment: t.Deployment) -> File:
    """What serves without such a file imports nothing for it."""
    try:
        from lupinmill.program import operators_file
    except ModuleNotFoundError as error:
        if error.name not in ("msgspec", "xxhash"):
            raise
        raise StartupError(f"{path}: wants {error.name}: pip install 'lupinmill[peers]'") from error
    try:
        file = operators_file.read(path)
        operators_file.check_against_platform(file, name, deployment)
    except operators_file.ConfigFileError as error:
        text = str(error)
        raise StartupError(text if text.startswith(path) else f"{path}: {text}") from error
    return file


def parse_settings(table: dict[str, Any], environ: Mapping[str, str], again: bool = False) -> ProcessSettings:
    """Raises one of UNREADABLE, its text the key and what is wrong there."""
    if not isinstance(table["settings"], dict):
        raise ValueError("settings: wants a table")
    fields = settings.flatten(table["settings"])
    settings.check(fields)
    name = printable(environ.get("BALANCER_NAME") or text(table.get("name")))
    seed = settings.seed_of(table.get("seed"), name)
    deployment = replace(settings.deployment(fields), seed=seed)
    if not deployment.workloads:
        raise ValueError("settings.workloads: there are no workloads")
    limits = table.get("limits") or {}
    if not isinstance(limits, dict):
        raise ValueError("limits: wants a table")
    memory = number(limits, "memory_mb", None)
    return ProcessSettings(
        name=name,
        listen=address("listen", environ.get("BALANCER_LISTEN") or table["listen"]),
        discovery=address("discovery", discovery_of(table, environ, again)),
        deployment=deployment,
        known=lists.initial_list(table.get("known")),
        descriptors=int(number(limits, "sockets", SOCKETS, LEAST_SOCKETS) or SOCKETS),
        memory=None if memory is None else int(memory * 2**20),
        idle_timeout_s=settings.idle_timeout_s(fields),
        connect_timeout_s=settings.connect_timeout_s(fields),
        operator=operator_of(table, environ),
        directory=environ.get("TMPDIR") or None,
        settings=table["settings"],
        unused=tuple(settings.unused(fields)),
    )


def discovery_of(table: dict[str, Any], environ: Mapping[str, str], again: bool) -> Any:
    found = environ.get("BALANCER_DISCOVERY")
    return table["discovery"] if not found or again and "discovery" in table else found


def operator_of(table: dict[str, Any], environ: Mapping[str, str]) -> str | None:
    found = environ.get("BALANCER_OPERATOR") or table.get("operator")
    return address("operator", found) if found else None


def address(key: str, value: Any) -> str:
    try:
        split_address(str(value))
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
    return str(value)


def number(limits: dict[str, Any], key: str, usual: float | None, least: float = 1.0) -> float | None:
    """As JSON may give it. Raises ValueError."""
    value = limits.get(key)
    if value is None:
        return usual
    try:
        found = float("nan") if isinstance(value, bool) else float(value)
    except (TypeError, ValueError):
        found = float("nan")
    if not isfinite(found) or found < least or found > LARGEST_LIMIT:
        raise ValueError(f"limits.{key}: {value!r} is not a number of {least:g} or more")
    return found


def text(value: Any) -> str:
    return "" if value is None else str(value)


def printable(name: str) -> str:
    """Bytes of the environment that are no UTF-8 can be neither logged nor sent."""
    return name.encode("utf-8", "backslashreplace").decode()


def changes_needing_restart(old: ProcessSettings, new: ProcessSettings, alive: bool = False) -> list[str]:
    """What differs and can't be changed without a new start. `alive`: settings are judged key by key, where
    they are put in force."""

    def settings_of(told: ProcessSettings) -> t.Deployment:
        return replace(told.deployment, seed=0)

    same = {
        "name": old.name == new.name,
        "listen": old.listen == new.listen,
        "limits": (old.descriptors, old.memory) == (new.descriptors, new.memory),
        "settings": alive or settings_of(old) == settings_of(new),
    }
    others = [name for name, holds in same.items() if not holds]
    if old.operators is not None or new.operators is not None:
        from lupinmill.program import operators_file

        others += operators_file.changes_needing_restart(old.operators, new.operators, old.name)
    return others
