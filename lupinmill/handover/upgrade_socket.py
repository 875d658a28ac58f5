"""The Unix socket by which the processes of one sidecar find each other.

Imports little: a starting process uses it before the rest of the program is imported."""

from __future__ import annotations

import os
import socket
import struct
from zlib import crc32

SOCKET_NAME = "lupinmill-%08x.sock"  # by a hash of name and address: sidecars may share the directory
MAX_SOCKET_PATH = 100  # bytes; a margin below the system's limit for Unix addresses
MAX_PENDING_LINKS = 4  # links that have yet to send their first message


class UpgradeSocket:
    """The Unix socket by which processes of one sidecar find each other. A path too long for the system is
    addressed by a descriptor of its directory."""

    def __init__(self, directory: str, name: str, listen: str) -> None:
        file = SOCKET_NAME % crc32(f"{name} {listen}".encode())
        self.path = os.path.join(directory, file)
        self.listening_file: tuple[int, int] | None = None  # device and inode of the file of `listen`
        self.directory_fd: int | None = None
        if len(os.fsencode(self.path)) > MAX_SOCKET_PATH:
            self.directory_fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
            self.path = f"/proc/self/fd/{self.directory_fd}/{file}"

    def listen(self) -> socket.socket:
        """Atomically replaces the previous listener; the file mode excludes other users."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        temporary_path = f"{self.path[:-5]}.{os.getpid() % 100_000}"
        try:
            if os.path.lexists(temporary_path):
                os.unlink(temporary_path)
            previous_umask = os.umask(0o177)
            try:
                sock.bind(temporary_path)
            finally:
                os.umask(previous_umask)
            sock.listen(MAX_PENDING_LINKS)
            sock.setblocking(False)
            self.listening_file = file_identity(temporary_path)
            os.rename(temporary_path, self.path)
        except BaseException:
            sock.close()
            raise
        return sock

    def is_replaced(self) -> bool:
        """Whether another process listens, or did, in the place of the socket of `listen`. False if that
        can't be told: to listen again would fail as well."""
        try:
            return file_identity(self.path) != self.listening_file
        except OSError:
            return False

    def connect(self) -> socket.socket | None:
        """Connects to the listening process; None if there is none, also if a dead one left its file."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.connect(self.path)
        except OSError:
            sock.close()
            return None
        return sock

    def close(self) -> None:
        if self.directory_fd is not None:
            os.close(self.directory_fd)
            self.directory_fd = None


def file_identity(path: str) -> tuple[int, int]:
    """Device and inode. Raises OSError."""
    status = os.stat(path)
    return status.st_dev, status.st_ino


def same_user(sock: socket.socket) -> bool:
    try:
        data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    except (AttributeError, OSError):
        return False
    return struct.unpack("3i", data)[1] in (os.geteuid(), 0)
