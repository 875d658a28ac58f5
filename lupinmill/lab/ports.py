"""Ports for the processes of the lab's runs, reserved over all runs on this machine."""

from __future__ import annotations

import socket
from collections.abc import Iterable

HOST = "127.0.0.1"
# Listening ports are assigned, below the range of ephemeral ports: sockets that may share a port, as in an
# upgrade, could otherwise be given the same one by the system.
PORT_RANGE = range(20_000, 30_000)
LOCK_NAME = "\0lupinmill-lab-port-%d"

# The locks of the ports that this process has reserved. A lock is a bound abstract Unix socket, which only
# one process can hold and the kernel releases with it: a port may be free for now although another run has
# assigned it, as while that run restarts a sidecar.
LOCKS: dict[int, socket.socket] = {}


def reserve_port(start: int) -> int:
    """Returns the first port from `start` on, modulo the range, that is free for TCP and UDP and that no
    other run has reserved. Reserved until `release_ports` or the end of this process.

    Raises OSError if there is none."""
    for at in range(len(PORT_RANGE)):
        port = PORT_RANGE[(start + at) % len(PORT_RANGE)]
        lock = lock_port(port)
        if lock is None:
            continue
        if is_free(port):
            LOCKS[port] = lock
            return port
        lock.close()
    raise OSError("no port is free")


def release_ports(ports: Iterable[int]) -> None:
    """Releases those of the ports that are reserved by this process."""
    for port in ports:
        lock = LOCKS.pop(port, None)
        if lock is not None:
            lock.close()


def lock_port(port: int) -> socket.socket | None:
    """Locks the port against other runs; None if it is locked already."""
    lock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        lock.bind(LOCK_NAME % port)
    except OSError:
        lock.close()
        return None
    return lock


def is_free(port: int) -> bool:
    """Whether nothing is bound to the port, for TCP and UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((HOST, port))
    except OSError:
        return False
    return True
