"""The driver of an upgrade: the socket in `$TMPDIR`, the links to the process before and to the one after
this one.

Owns that socket and both links; a link's end gives back all that waits on it. What passes when is
`Succession`'s."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any
from zlib import crc32

import anyio
from anyio.abc import TaskGroup

from lupinmill.handover.upgrade_protocol import VERSION, CommandKind, Command, UpgradeProtocol
from lupinmill.protocol.calls import Call
from lupinmill.protocol.http import Malformed
from lupinmill.routing.engine import Log, defect
from lupinmill.transport.link import BrokenLink, Link

SOCKET_NAME = "lupinmill-%08x.sock"  # of name and address: other sidecars may share the directory
MAX_SOCKET_PATH = 100  # bytes that the system takes in a Unix address, with some to spare
STATE_TIMEOUT_S = 1.5  # seconds: so long a start waits at most for a process that may be there
FORWARD_TIMEOUT_S = 0.4  # seconds for the other process to carry out an operator's call too
REPORT_INTERVAL_S = 0.05  # seconds between two words on the descriptors still held
HELLO_TIMEOUT_S = 1.0  # seconds
MAX_PENDING_LINKS = 4  # that ask to take over, at a time

Message = dict[str, Any]


class UpgradeSocket:
    """Where processes of this sidecar find one another. A path too long for the system goes by its
    directory."""

    def __init__(self, directory: str, name: str, listen: str) -> None:
        file = SOCKET_NAME % crc32(f"{name} {listen}".encode())
        self.path = os.path.join(directory, file)
        self.directory_fd: int | None = None
        if len(os.fsencode(self.path)) > MAX_SOCKET_PATH:
            self.directory_fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
            self.path = f"/proc/self/fd/{self.directory_fd}/{file}"

    def listen(self) -> socket.socket:
        """Replaces whoever listened there in one step; the mode keeps other users out."""
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
            os.rename(temporary_path, self.path)
        except BaseException:
            sock.close()
            raise
        return sock

    def connect(self) -> socket.socket | None:
        """A process that listens there; a file left by a dead one counts as none."""
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


def same_user(sock: socket.socket) -> bool:
    try:
        data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    except (AttributeError, OSError):
        return False
    return struct.unpack("3i", data)[1] in (os.geteuid(), 0)


def listening_socket(descriptor: int) -> socket.socket:
    """Raises BrokenLink where the descriptor is none of a listening socket."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        os.close(descriptor)
        raise BrokenLink(f"no socket came: {error.strerror}") from error
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.close()
        raise BrokenLink("a socket came that does not listen")
    sock.setblocking(False)
    return sock


class Handover:
    """What it does to the rest of the program is set by whoever puts the program together."""

    def __init__(self, directory: str | None, name: str, listen: str, log: Log) -> None:
        self.log = log
        self.protocol = UpgradeProtocol(name, listen)
        self.upgrade_socket: UpgradeSocket | None = None
        if directory:
            try:
                self.upgrade_socket = UpgradeSocket(directory, name, listen)
            except OSError as error:
                log("handover_off", error=f"{directory}: {error.strerror}")
        self.predecessor: Link | None = None
        self.successor: Link | None = None
        self.pending_calls: dict[int, anyio.Event] = {}  # calls that the other process has yet to carry out
        self.last_call_number = 0
        self.listener: socket.socket | None = None  # where the next process asks, while it may
        self.accept_scope: anyio.CancelScope | None = None  # of letting in
        self.successor_lost = anyio.Event()  # the next one has gone
        self.pending_links = 0  # links that have yet to say who they are
        self.collect_state: Callable[[], Message] = dict
        self.client_listener: Callable[[], socket.socket]
        self.collect_open_work: Callable[[], Message] = dict  # what this process has open
        self.on_yield, self.on_resume = (lambda: None), (lambda: None)
        self.apply_call: Callable[[Call], tuple[int, str]] = lambda call: (500, "")
        self.adopt_client: Callable[[socket.socket], None] = socket.socket.close
        self.on_predecessor_work: Callable[[Message], None] = lambda report: None
        # A list of another version than the one given, which this process was told after it yielded; and what
        # is done with one of the process before.
        self.newer_list: Callable[[int], Message | None] = lambda index: None
        self.on_list: Callable[[Message], None] = lambda message: None
        self.sent_list_index = 0  # version of the list that the next process has from this one

    # The start: is there one to take over from?

    async def request_state(self) -> tuple[Message, socket.socket] | None:
        """The state of the process that serves now, and the listening socket; None: an ordinary start."""
        if self.upgrade_socket is None:
            return None
        sock = self.upgrade_socket.connect()
        if sock is None:
            return None
        link = Link(sock)
        try:
            if not same_user(sock):
                raise BrokenLink("another user's process listens there")
            protocol = self.protocol
            hello = {"say": "hello", "version": VERSION, "name": protocol.name, "listen": protocol.listen}
            state = await link.ask(hello, STATE_TIMEOUT_S)
            if state.get("say") != "state":
                raise BrokenLink(str(state.get("why", "no state"))[:200])
            listening = listening_socket(link.take_descriptor())
        except (OSError, BrokenLink, TimeoutError) as error:
            self.log("handover_refused", error=f"{type(error).__name__}: {error}")
            link.close()
            return None
        except BaseException:  # told to end meanwhile
            link.close()
            raise
        self.predecessor = link
        return state, listening

    def decline(self) -> None:
        """What came can't be taken up: the process before this one must not yield to it."""
        if self.predecessor is not None:
            self.predecessor.close()
            self.predecessor = None

    def start(self, group: TaskGroup) -> None:
        """This process takes clients: whoever starts next finds it, the one before yields."""
        if self.predecessor is not None:
            self.predecessor.send({"say": "serving"})
            group.start_soon(self.run_guarded, "follow", self.follow_predecessor, self.predecessor)
        if self.upgrade_socket is not None:
            group.start_soon(self.run_guarded, "keep", self.accept_successors, group)

    async def run_guarded(self, name: str, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """A defect in what passes between two processes must not end the one that serves."""
        try:
            await task(*args)
        except Exception as error:
            self.log("task_failed", task=name, **defect(error))

    # To the process before this one.

    async def follow_predecessor(self, link: Link) -> None:
        try:
            await self.run_link(link, self.on_predecessor_message)
        finally:
            self.predecessor = None
            self.on_predecessor_work({})
            self.log("handover", text="the process before this one has ended")

    async def run_link(self, link: Link, on_message: Callable[[Message], None]) -> None:
        """Until the other side ends, and gives the link back."""
        try:
            await link.run(on_message)
        except* (OSError, BrokenLink):
            pass
        except* Exception as errors:
            self.log("task_failed", task="link", **defect(errors.exceptions[0]))
        finally:
            link.close()

    def on_predecessor_message(self, message: Message) -> None:
        link, say = self.predecessor, message.get("say")
        if link is None:
            return
        if say == "client":
            self.adopt_client(socket.socket(fileno=link.take_descriptor()))
        elif say == "open":
            self.on_predecessor_work(message)
        elif say == "list":
            self.on_list(message)
        else:
            self.on_call_message(link, message)

    # To the process after this one.

    async def accept_successors(self, group: TaskGroup) -> None:
        """Listens for it, also anew after one that took over has died."""
        assert self.upgrade_socket is not None
        while True:
            try:
                self.listener = self.upgrade_socket.listen()
            except OSError as error:
                self.log("handover_off", error=str(error))
                return
            with self.listener, anyio.CancelScope() as self.accept_scope:
                await self.accept_links(self.listener, group)
            self.listener = None
            while not self.protocol.accepts_clients():
                self.successor_lost = anyio.Event()
                await self.successor_lost.wait()

    async def accept_links(self, listener: socket.socket, group: TaskGroup) -> None:
        while True:
            await anyio.wait_readable(listener)
            try:
                accepted, _ = listener.accept()
            except OSError:
                await anyio.sleep(REPORT_INTERVAL_S)
                continue
            accepted.setblocking(False)
            if self.pending_links >= MAX_PENDING_LINKS:
                accepted.close()
            else:
                self.pending_links += 1
                group.start_soon(self.serve_successor, Link(accepted))

    async def serve_successor(self, link: Link) -> None:
        """The one place that gives this link back, whoever asked."""
        try:
            if not await self.check_hello(link):
                return
            self.successor = link
            try:
                self.log("handover", text="another process asks to take over")
                self.send_state(link)
                async with anyio.create_task_group() as group:
                    group.start_soon(self.report_open_work, link)
                    await self.run_link(link, self.on_successor_message)
                    group.cancel_scope.cancel()
            finally:
                self.successor = None
                self.execute(self.protocol.on_link_lost())
        except Exception as error:
            self.log("task_failed", task="attend", **defect(error))
        finally:
            link.close()

    def send_state(self, link: Link) -> None:
        """Raises whatever keeps the state from being told; the descriptor is given back then."""
        state, descriptor = self.collect_state(), os.dup(self.client_listener().fileno())
        self.sent_list_index = state.get("list", {}).get("index", 0)
        try:
            queued = link.send(state, descriptor)
        except BaseException:
            os.close(descriptor)
            raise
        if not queued:
            os.close(descriptor)

    async def check_hello(self, link: Link) -> bool:
        try:
            try:
                with anyio.fail_after(HELLO_TIMEOUT_S):
                    hello = await link.hear_one()
            finally:
                self.pending_links -= 1
            command = self.protocol.on_hello(hello, same_user(link.sock))
            if command.kind is CommandKind.REFUSE:
                self.log("handover", text=f"refused: {command.reason}")
                await link.ask({"say": "no", "why": command.reason}, HELLO_TIMEOUT_S)
            return command.kind is CommandKind.SEND_STATE
        except (OSError, BrokenLink, TimeoutError):
            return False

    def on_successor_message(self, message: Message) -> None:
        if message.get("say") == "serving":
            self.execute(self.protocol.on_serving())
        elif self.successor is not None:
            self.on_call_message(self.successor, message)

    def execute(self, commands: list[Command]) -> None:
        for command in commands:
            if command.kind is CommandKind.YIELD:
                self.log("handover", text="the next process serves; this one finishes what it has")
                if self.accept_scope is not None:
                    self.accept_scope.cancel()
                self.on_yield()
            elif command.kind is CommandKind.RESUME:
                self.log("handover", text="the next process has gone; this one serves again")
                self.successor_lost.set()
                self.on_resume()

    def send_client(self, sock: socket.socket) -> bool:
        """The socket is the link's from now on; False, and nothing taken, where there is no link."""
        link = self.successor
        if link is None or not link.has_room():
            return False
        return link.send({"say": "client"}, sock.detach())

    async def report_open_work(self, link: Link) -> None:
        """What is open here counts there too, until it has ended, and so does a list that is told here: calls
        of this process may be answered long before the first of the next one."""
        last_report: Message = {}
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            if self.protocol.accepts_clients():
                continue
            self.send_newer_list(link)
            if last_report != (report := self.collect_open_work()) and link.send({"say": "open", **report}):
                last_report = report

    def send_newer_list(self, link: Link) -> None:
        newer = self.newer_list(self.sent_list_index)
        if newer is not None and link.send({"say": "list", **newer}):
            self.sent_list_index = newer["list"]["index"]

    async def flush(self) -> None:
        while self.successor is not None and self.successor.going:
            await anyio.sleep(0.005)

    # Operators' calls hold in both.

    def on_call_message(self, link: Link, message: Message) -> None:
        say = message.get("say")
        if say == "call":
            try:
                status, _ = self.apply_call(Call(str(message["what"]), str(message["member"])))
            except (KeyError, Malformed):
                status = 400
            link.send({"say": "done", "n": message.get("n"), "status": status})
        elif say == "done" and (event := self.pending_calls.get(message.get("n"))) is not None:
            event.set()

    async def forward_call(self, call: Call) -> None:
        links = [link for link in (self.predecessor, self.successor) if link is not None and link.has_room()]
        for link in links:
            self.last_call_number += 1
            number, event = self.last_call_number, anyio.Event()
            self.pending_calls[number] = event
            try:
                link.send({"say": "call", "n": number, "what": call.what, "member": call.endpoint})
                with anyio.move_on_after(FORWARD_TIMEOUT_S):
                    await event.wait()
            finally:
                del self.pending_calls[number]

    def close(self) -> None:
        for link in (self.predecessor, self.successor):
            if link is not None:
                link.close()
        if self.upgrade_socket is not None:
            self.upgrade_socket.close()
