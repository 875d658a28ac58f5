"""The settings of this process, from its environment and the platform's file that this names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from math import isfinite
from typing import TYPE_CHECKING, Any

import orjson

from lupinmill import terms as t
from lupinmill.protocol import lists, settings
from lupinmill.protocol.http import Garbled
from lupinmill.transport.connection import split_address

if TYPE_CHECKING:
    from lupinmill.program.operators_file import File


MIN_SOCKETS = 16  # the process's own, and those for one client and one endpoint
MAX_LIMIT = 1e9  # descriptors, or megabytes
DEFAULT_SOCKETS = 1024
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
    initial_list: lists.EndpointList
    descriptors: int  # the limit on open file descriptors
    memory: int | None  # limit in bytes
    idle_timeout_s: float
    connect_timeout_s: float
    admin_address: str | None = None
    upgrade_directory: str | None = None  # shared by the processes of an upgrade
    operator_file: File | None = None
    settings: dict[str, Any] = field(default_factory=dict)  # as in the platform's file
    unused: tuple[str, ...] = ()  # keys of settings without effect in this topology


def read(environ: Mapping[str, str], reload: bool = False) -> ProcessSettings:
    """`reload`: the file takes precedence over the environment, which can't have changed since the start."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise StartupError("BALANCER_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            table = orjson.loads(file.read())
    except OSError as error:
        raise StartupError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise StartupError(f"{path}: {error}") from error
    if not isinstance(table, dict):
        raise StartupError(f"{path}: not a JSON object")
    try:
        found = parse_settings(table, environ, reload)
    except UNREADABLE as error:
        text = f"missing {error}" if isinstance(error, KeyError) else str(error)
        raise StartupError(f"{path}: {' '.join(text.split())[:200]}") from error
    path = environ.get("BALANCER_OPERATOR_FILE")
    return (
        replace(found, operator_file=read_operator_file(path, found.name, found.deployment))
        if path
        else found
    )


def read_operator_file(path: str, name: str, deployment: t.Deployment) -> File:
    """Reads the operator's file. Its modules are imported only here, where a file is named."""
    try:
        from lupinmill.program import operators_file
    except ModuleNotFoundError as error:
        if error.name not in ("msgspec", "xxhash"):
            raise
        raise StartupError(f"{path}: requires {error.name}: pip install 'lupinmill[peers]'") from error
    try:
        file = operators_file.read(path)
        operators_file.check_against_platform(file, name, deployment)
    except operators_file.ConfigFileError as error:
        text = str(error)
        raise StartupError(text if text.startswith(path) else f"{path}: {text}") from error
    return file


def parse_settings(
    table: dict[str, Any], environ: Mapping[str, str], reload: bool = False
) -> ProcessSettings:
    """Raises one of UNREADABLE, whose text names the key and the fault."""
    if not isinstance(table["settings"], dict):
        raise ValueError("settings: must be a table")
    fields = settings.flatten(table["settings"])
    settings.check(fields)
    name = printable(environ.get("BALANCER_NAME") or text(table.get("name")))
    seed = settings.seed_of(table.get("seed"), name)
    deployment = replace(settings.deployment(fields), seed=seed)
    if not deployment.workloads:
        raise ValueError("settings.workloads: there are no workloads")
    limits = table.get("limits") or {}
    if not isinstance(limits, dict):
        raise ValueError("limits: must be a table")
    memory = number(limits, "memory_mb", None)
    return ProcessSettings(
        name=name,
        listen=address("listen", environ.get("BALANCER_LISTEN") or table["listen"]),
        discovery=address("discovery", discovery_of(table, environ, reload)),
        deployment=deployment,
        initial_list=lists.initial_list(table.get("known")),
        descriptors=int(number(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS) or DEFAULT_SOCKETS),
        memory=None if memory is None else int(memory * 2**20),
        idle_timeout_s=settings.idle_timeout_s(fields),
        connect_timeout_s=settings.connect_timeout_s(fields),
        admin_address=admin_address_of(table, environ),
        upgrade_directory=environ.get("TMPDIR") or None,
        settings=table["settings"],
        unused=tuple(settings.unused(fields)),
    )


def discovery_of(table: dict[str, Any], environ: Mapping[str, str], reload: bool) -> Any:
    found = environ.get("BALANCER_DISCOVERY")
    return table["discovery"] if not found or reload and "discovery" in table else found


def admin_address_of(table: dict[str, Any], environ: Mapping[str, str]) -> str | None:
    found = environ.get("BALANCER_OPERATOR") or table.get("operator")
    return address("operator", found) if found else None


def address(key: str, value: Any) -> str:
    try:
        split_address(str(value))
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
    return str(value)


def number(limits: dict[str, Any], key: str, default: float | None, minimum: float = 1.0) -> float | None:
    """A limit in any JSON form of a number. Raises ValueError."""
    value = limits.get(key)
    if value is None:
        return default
    try:
        found = float("nan") if isinstance(value, bool) else float(value)
    except (TypeError, ValueError):
        found = float("nan")
    if not isfinite(found) or found < minimum or found > MAX_LIMIT:
        raise ValueError(f"limits.{key}: {value!r} is not a number of {minimum:g} or more")
    return found


def text(value: Any) -> str:
    return "" if value is None else str(value)


def printable(name: str) -> str:
    """Escapes bytes of the environment that are not UTF-8, which could be neither logged nor sent."""
    return name.encode("utf-8", "backslashreplace").decode()


def changes_needing_restart(old: ProcessSettings, new: ProcessSettings, live: bool = False) -> list[str]:
    """The keys whose change needs a restart. `live`: `settings` are checked key by key elsewhere."""

    def without_seed(process: ProcessSettings) -> t.Deployment:
        return replace(process.deployment, seed=0)

    unchanged = {
        "name": old.name == new.name,
        "listen": old.listen == new.listen,
        "limits": (old.descriptors, old.memory) == (new.descriptors, new.memory),
        "settings": live or without_seed(old) == without_seed(new),
    }
    changed = [name for name, holds in unchanged.items() if not holds]
    if old.operator_file is not None or new.operator_file is not None:
        from lupinmill.program import operators_file

        changed += operators_file.changes_needing_restart(old.operator_file, new.operator_file, old.name)
    return changed
