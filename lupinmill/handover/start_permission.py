"""Asks the serving process of an upgrade for room, before this process imports what takes most of its memory.

Blocks, as there is no event loop yet, and imports little: `typing` and `dataclasses` alone take 2 MB. The
connection is the link on which the state is requested afterwards."""

from __future__ import annotations

import json
import os
import socket
import time

from lupinmill.handover.upgrade_socket import UpgradeSocket, same_user
from lupinmill.handover.version import VERSION
from lupinmill.transport.link_frames import LENGTH_PREFIX, MAX_MESSAGE_SIZE, frame
from lupinmill.transport.resident_memory import read_resident_memory

TYPE_CHECKING = False  # as `typing.TYPE_CHECKING`
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

# Until the serving process, which may be held up, says that it makes room, or that there is none. A new
# process has 6 s to take clients, and asks for the state after this.
FIRST_ANSWER_S = 3.0
ROOM_TIMEOUT_S = 3.0  # until it has made room; longer than it tries to
POLL_S = 0.05  # between two looks at the signals that have arrived


class NoRoom(Exception):
    """The limit can't hold two processes. The text is the one line for standard error."""


class NoAnswer(Exception):
    """There is no process that could make room, or it is of a version that doesn't."""


class Identity:
    """By which the processes of one sidecar know each other."""

    def __init__(self, name: str, listen: str) -> None:
        self.name, self.listen = name, listen


def identity(environ: Mapping[str, str]) -> Identity | None:
    """As `process_settings` reads it; None where that will refuse the start, or can't be told yet."""
    name, listen = environ.get("BALANCER_NAME"), environ.get("BALANCER_LISTEN")
    if not name or not listen:
        try:
            with open(environ["BALANCER_CONFIG"], "rb") as file:
                table = json.loads(file.read(), object_hook=keep_outermost)
            name, listen = name or table.get("name"), listen or table["listen"]
        except (KeyError, OSError, ValueError, TypeError, AttributeError, RecursionError):
            return None
    name = "" if name is None else str(name)
    return Identity(name.encode("utf-8", "backslashreplace").decode(), str(listen))


def keep_outermost(table: dict[str, Any]) -> dict[str, Any] | None:
    """Drops each endpoint of a long list as soon as it is decoded."""
    return table if "discovery" in table or "listen" in table else None


def request_room(environ: Mapping[str, str], stopped: Callable[[], bool]) -> socket.socket | None:
    """Returns once the serving process has made room, with the connection to it; None if there is none.
    Returns early when `stopped` says so. Raises NoRoom."""
    directory = environ.get("TMPDIR")
    if not directory or not has_upgrade_socket(directory):
        return None
    found = identity(environ)
    sock = connect(directory, found) if found is not None else None
    if sock is None:
        return None
    try:
        request = {"say": "prepare", "version": VERSION, "name": found.name, "listen": found.listen}
        sock.settimeout(FIRST_ANSWER_S)
        sock.sendall(frame(json.dumps(request).encode()))
        answer = receive(sock, FIRST_ANSWER_S, stopped)
        if answer.get("say") == "wait":
            answer = receive(sock, ROOM_TIMEOUT_S, stopped)
        if answer.get("say") == "no room":
            raise NoRoom(str(answer.get("why", "")))
        if answer.get("say") != "go":
            raise NoAnswer
    except (OSError, ValueError, AttributeError, NoAnswer):
        sock.close()
        return None
    except NoRoom:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def memory_at_request(environ: Mapping[str, str]) -> int:
    """Bytes that a process holds alone when it asks for room: as many as this one, which is the same program,
    at this point, and the configuration if that has to be read for its name. 0 where that is not known."""
    resident = read_resident_memory()
    if resident is None:
        return 0
    if environ.get("BALANCER_NAME") and environ.get("BALANCER_LISTEN"):
        return resident.private
    try:
        return resident.private + os.stat(environ["BALANCER_CONFIG"]).st_size
    except (KeyError, OSError):
        return resident.private


def has_upgrade_socket(directory: str) -> bool:
    try:
        return any(name.endswith(".sock") for name in os.listdir(directory))
    except OSError:
        return False


def connect(directory: str, of: Identity) -> socket.socket | None:
    """To the serving process of the same user; None if there is none."""
    try:
        path = UpgradeSocket(directory, of.name, of.listen)
    except OSError:
        return None
    try:
        sock = path.connect()
    finally:
        path.close()
    if sock is not None and not same_user(sock):
        sock.close()
        return None
    return sock


def receive(sock: socket.socket, timeout_s: float, stopped: Callable[[], bool]) -> dict[str, Any]:
    """The next message. Raises NoAnswer, OSError or ValueError."""
    until = time.monotonic() + timeout_s
    (length,) = LENGTH_PREFIX.unpack(receive_exactly(sock, LENGTH_PREFIX.size, until, stopped))
    if length > MAX_MESSAGE_SIZE:
        raise NoAnswer
    return json.loads(receive_exactly(sock, length, until, stopped))


def receive_exactly(sock: socket.socket, count: int, until: float, stopped: Callable[[], bool]) -> bytes:
    data = b""
    sock.settimeout(POLL_S)
    while len(data) < count:
        if stopped() or time.monotonic() >= until:
            raise NoAnswer
        try:
            piece = sock.recv(count - len(data))
        except TimeoutError:
            continue
        if not piece:
            raise NoAnswer
        data += piece
    return data
