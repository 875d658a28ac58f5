"""What this sidecar is told at its start, from the environment and the file that it names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from lupinmill import terms as t
from lupinmill.protocol import lists, settings
from lupinmill.protocol.http import Garbled
from lupinmill.transport.connection import split_address

if TYPE_CHECKING:
    from lupinmill.program.operators_file import File


class BadStart(Exception):
    """The text is the one line for standard error."""


@dataclass(frozen=True, slots=True)
class Told:
    name: str
    listen: str
    discovery: str
    deployment: t.Deployment
    known: lists.Known
    descriptors: int
    memory: int | None  # bytes
    idle_limit: float
    connect_limit: float
    operator: str | None = None  # where operators call
    directory: str | None = None  # common to the processes of an upgrade
    operators: File | None = None  # the operator's own file, where one is named
    settings: dict[str, Any] = field(default_factory=dict)  # as the platform's file has them


def read(environ: Mapping[str, str], again: bool = False) -> Told:
    """Read again, after the start, the file goes before the environment, which can't have changed."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise BadStart("BALANCER_CONFIG is not set")
    try:
        table = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise BadStart(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise BadStart(f"{path}: {error}") from error
    if not isinstance(table, dict):
        raise BadStart(f"{path}: not a JSON object")
    try:
        told = understand(table, environ, again)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, Garbled) as error:
        text = f"missing {error}" if isinstance(error, KeyError) else str(error)
        raise BadStart(f"{path}: {' '.join(text.split())[:200]}") from error
    path = environ.get("BALANCER_OPERATOR_FILE")
    return replace(told, operators=operators(path, told.name, told.deployment)) if path else told


def operators(path: str, name: str, deployment: t.Deployment) -> File:
    """What serves without such a file imports nothing for it."""
    try:
        from lupinmill.program import operators_file
    except ModuleNotFoundError as error:
        if error.name not in ("msgspec", "xxhash"):
            raise
        raise BadStart(f"{path}: wants {error.name}: pip install 'lupinmill[peers]'") from error
    try:
        file = operators_file.read(path)
        operators_file.fits(file, name, deployment)
    except operators_file.BadFile as error:
        text = str(error)
        raise BadStart(text if text.startswith(path) else f"{path}: {text}") from error
    return file


def understand(table: dict[str, Any], environ: Mapping[str, str], again: bool = False) -> Told:
    fields = settings.flatten(table["settings"])
    settings.check(fields)
    deployment = replace(settings.deployment(fields), seed=seed(table.get("seed", 0)))
    limits = table.get("limits") or {}
    if not deployment.workloads:
        raise ValueError("settings: no workloads")
    listen = environ.get("BALANCER_LISTEN") or str(table["listen"])
    discovery = environ.get("BALANCER_DISCOVERY")
    if not discovery or again and "discovery" in table:
        discovery = str(table["discovery"])
    operator = environ.get("BALANCER_OPERATOR") or table.get("operator")
    operator = str(operator) if operator else None
    for address in (listen, discovery, *([operator] if operator else [])):
        split_address(address)
    return Told(
        name=environ.get("BALANCER_NAME") or str(table.get("name", "")),
        listen=listen,
        discovery=discovery,
        deployment=deployment,
        known=lists.known(table.get("known") or {"index": 0, "endpoints": []}),
        descriptors=int(limits.get("sockets", 1024)),
        memory=int(float(limits["memory_mb"]) * 2**20) if "memory_mb" in limits else None,
        idle_limit=settings.idle_limit(fields),
        connect_limit=settings.connect_limit(fields),
        operator=operator,
        directory=environ.get("TMPDIR") or None,
        settings=table["settings"],
    )


def fixed(old: Told, new: Told, alive: bool = False) -> list[str]:
    """What differs and can't be changed without a new start. `alive`: settings are judged key by key, where
    they are put in force."""

    def settings_of(told: Told) -> t.Deployment:
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

        others += operators_file.fixed(old.operators, new.operators, old.name)
    return others


def seed(value: Any) -> int:
    return int(value, 16) if isinstance(value, str) else int(value)
