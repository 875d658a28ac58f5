"""Clients whose requests are costly to parse for their size, sent at full speed."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

TIMEOUT_S = 5.0  # of connecting, and of a write that makes no progress
RECONNECT_PAUSE_S = 0.01
CHUNKS_PER_WRITE = 20_000
HEADERS_PER_HEAD = 1_100
TINY_CHUNKS = b"1\r\nx\r\n" * CHUNKS_PER_WRITE


def tiny_chunks_request(path: str) -> tuple[bytes, bytes]:
    """The head of a request whose body comes in chunks of one byte, and some of the body."""
    head = (
        f"POST /{path} HTTP/1.1\r\nHost: site\r\nReq-Id: costly\r\nReq-Kind: {path}\r\nReq-Deadline: 5\r\n"
        "Idempotency-Key: costly\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode(), TINY_CHUNKS


def many_headers_request(path: str) -> tuple[bytes, bytes]:
    """Nothing, and a request with many headers and no id."""
    headers = "".join(f"x-{at}: y\r\n" for at in range(HEADERS_PER_HEAD))
    return b"", f"GET /{path} HTTP/1.1\r\nHost: site\r\n{headers}\r\n".encode()


class CostlyClient:
    """Sends `first` once on each connection, then `rest` again and again, and connects again when it is
    refused. Owns a thread, so that it is not slowed down by an event loop, and its connection; `close` ends
    both."""

    def __init__(self, address: Callable[[], str], first: bytes, rest: bytes) -> None:
        self.address, self.first, self.rest = address, first, rest
        self.connections = 0
        self.closed = threading.Event()
        self.sock: socket.socket | None = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        while not self.closed.is_set():
            with contextlib.suppress(OSError):
                self.send_until_refused()
            self.closed.wait(RECONNECT_PAUSE_S)

    def send_until_refused(self) -> None:
        host, _, port = self.address().partition(":")
        with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
            self.sock = sock
            self.connections += 1
            sock.sendall(self.first)
            while not self.closed.is_set():
                sock.sendall(self.rest)

    def close(self) -> None:
        self.closed.set()
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        self.thread.join(TIMEOUT_S)
