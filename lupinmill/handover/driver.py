"""I/O of an upgrade: the socket in `$TMPDIR`, and the links to the predecessor and the successor of this
process.

Owns that socket and both links; the end of a link releases everything that waits on it. `UpgradeProtocol`
decides what is passed when."""

from __future__ import annotations

import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from lupinmill.handover.id_claims import IdClaims
from lupinmill.handover.upgrade_protocol import VERSION, Command, CommandKind, Phase, UpgradeProtocol
from lupinmill.handover.upgrade_socket import MAX_PENDING_LINKS, UpgradeSocket, same_user
from lupinmill.protocol.admin_calls import AdminCall
from lupinmill.protocol.http import Malformed
from lupinmill.routing.engine import Log, error_fields
from lupinmill.transport.link import Link, LinkError

STATE_TIMEOUT_S = 1.5  # how long a start waits for the state of a process that may be there
PREPARED_STATE_TIMEOUT_S = 3.0  # the same for one that has just made room, and may be held up since
FORWARD_TIMEOUT_S = 0.4  # for the other process to apply an operator's call as well
REPORT_INTERVAL_S = 0.05  # between two reports of the work that is still open
HELLO_TIMEOUT_S = 1.0
ROOM_TIMEOUT_S = 2.5  # for requests in hand to end, whose memory the successor needs
ROOM_CHECK_INTERVAL_S = 0.02
PREPARED_TIMEOUT_S = 10.0  # from there until the successor has started and requests the state

Message = dict[str, Any]


def listening_socket(descriptor: int) -> socket.socket:
    """Raises LinkError if the descriptor is not a listening socket."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        os.close(descriptor)
        raise LinkError(f"received a descriptor that is not a socket: {error.strerror}") from error
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.close()
        raise LinkError("received a socket that does not listen")
    sock.setblocking(False)
    return sock


class UpgradeMemory(Protocol):
    """The memory that this process shares with its successor."""

    def begin_upgrade(self) -> str | None:
        """Begins to make room. Returns why there can be none."""

    def has_made_room(self) -> bool:
        """Whether the successor may grow now."""

    def end_upgrade(self) -> None:
        """The successor is gone: this process may use the whole limit again."""


class Handover:
    """Links to the predecessor and the successor of this process.

    The callbacks are set by the program that owns the handover. `permitted`: a connection to the predecessor,
    which has made room for this process."""

    def __init__(
        self,
        directory: str | None,
        name: str,
        listen: str,
        log: Log,
        memory: UpgradeMemory | None = None,
        permitted: socket.socket | None = None,
    ) -> None:
        self.log, self.memory, self.permitted = log, memory, permitted
        self.protocol = UpgradeProtocol(name, listen)
        self.upgrade_socket: UpgradeSocket | None = None
        if directory:
            try:
                self.upgrade_socket = UpgradeSocket(directory, name, listen)
            except OSError as error:
                log("handover_off", error=f"{directory}: {error.strerror}")
        self.predecessor: Link | None = None
        self.successor: Link | None = None
        self.id_claims = IdClaims()
        self.pending_calls: dict[int, anyio.Event] = {}  # operators' calls sent, not yet acknowledged
        self.last_call_number = 0
        self.listener: socket.socket | None = None  # for successors, while they are accepted
        self.accept_scope: anyio.CancelScope | None = None  # of `accept_links`
        self.successor_lost = anyio.Event()
        self.pending_links = 0  # without a hello yet
        self.collect_state: Callable[[], Message] = dict
        self.client_listener: Callable[[], socket.socket]
        self.collect_open_work: Callable[[], Message] = dict  # work that is still open here
        self.on_yield, self.on_resume = (lambda: None), (lambda: None)
        self.apply_call: Callable[[AdminCall], tuple[int, str]] = lambda call: (500, "")
        self.adopt_client: Callable[[socket.socket], None] = socket.socket.close
        self.on_predecessor_work: Callable[[Message], None] = lambda report: None
        # `newer_list` returns the endpoint list if its version differs from the given one: this process may
        # receive a list after it yielded. `on_list` handles such a list of the predecessor.
        self.newer_list: Callable[[int], Message | None] = lambda index: None
        self.on_list: Callable[[Message], None] = lambda message: None
        # `list_inherited` tells whether this process still relies on the predecessor's watch on the list.
        self.list_inherited: Callable[[], bool] = lambda: False
        self.on_predecessor_ended: Callable[[], None] = lambda: None
        self.successor_needs_list = False  # it relies on this process's watch
        self.sent_list_index = 0  # version of the list that the successor has from this process

    # At the start: taking over from a predecessor.

    async def request_state(self) -> tuple[Message, socket.socket] | None:
        """The state of the serving process, and its listening socket; None means an ordinary start."""
        sock, self.permitted = self.permitted, None
        timeout_s = STATE_TIMEOUT_S if sock is None else PREPARED_STATE_TIMEOUT_S
        if sock is None and self.upgrade_socket is not None:
            sock = self.upgrade_socket.connect()
        if sock is None:
            return None
        link = Link(sock)
        try:
            if not same_user(sock):
                raise LinkError("the process that listens there belongs to another user")
            protocol = self.protocol
            hello = {"say": "hello", "version": VERSION, "name": protocol.name, "listen": protocol.listen}
            state = await link.ask(hello, timeout_s)
            if state.get("say") != "state":
                raise LinkError(str(state.get("why", "the answer is not a state"))[:200])
            listening = listening_socket(link.take_descriptor())
        except (OSError, LinkError, TimeoutError) as error:
            self.log("handover_refused", error=f"{type(error).__name__}: {error}")
            link.close()
            return None
        except BaseException:  # cancelled by a signal to end
            link.close()
            raise
        self.predecessor = link
        if state.get("claims"):  # an older version does not answer them
            self.id_claims.predecessor = link
        return state, listening

    def decline(self) -> None:
        """The state can't be used: the predecessor must not yield to this process."""
        if self.predecessor is not None:
            self.predecessor.close()
            self.predecessor = self.id_claims.predecessor = None

    def start(self, group: TaskGroup) -> None:
        """This process accepts clients: its successor can find it, and its predecessor yields."""
        if self.predecessor is not None:
            self.predecessor.send({"say": "serving", "needs_list": self.list_inherited()})
            group.start_soon(self.run_guarded, "follow", self.follow_predecessor, self.predecessor)
        if self.upgrade_socket is not None:
            group.start_soon(self.run_guarded, "keep", self.accept_successors, group)

    async def run_guarded(self, name: str, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """A defect in the handover must not end a serving process."""
        try:
            await task(*args)
        except Exception as error:
            self.log("task_failed", task=name, **error_fields(error))

    # Link to the predecessor.

    async def follow_predecessor(self, link: Link) -> None:
        try:
            await self.run_link(link, self.on_predecessor_message)
        finally:
            self.predecessor = None
            self.on_predecessor_work({})
            self.id_claims.predecessor_ended()
            self.on_predecessor_ended()
            self.log("handover", text="the previous process has ended")

    def report_list_confirmed(self) -> None:
        """Discovery has answered this process: the predecessor may end."""
        if self.predecessor is not None:
            self.predecessor.send({"say": "list confirmed"})

    async def run_link(self, link: Link, on_message: Callable[[Message], None]) -> None:
        """Runs the link until the other side ends, and closes it."""
        try:
            await link.run(on_message)
        except* (OSError, LinkError):
            pass
        except* Exception as errors:
            self.log("task_failed", task="link", **error_fields(errors.exceptions[0]))
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

    # Link to the successor.

    async def accept_successors(self, group: TaskGroup) -> None:
        """Accepts a successor; listens again if a successor that took over, or was about to, has died."""
        assert self.upgrade_socket is not None
        while True:
            try:
                self.listener = self.upgrade_socket.listen()
            except OSError as error:
                self.log("handover_off", error=str(error))
                return
            with self.listener, anyio.CancelScope() as self.accept_scope:
                await self.accept_links(self.listener, group)
            self.listener = self.accept_scope = None
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
        """Owns the link, whoever connected, and closes it at the end."""
        try:
            message, known_user = await self.receive_first_message(link), same_user(link.sock)
            if message.get("say") == "prepare":
                command = self.protocol.on_prepare(message, known_user)
            else:
                command = self.protocol.on_hello(message, known_user)
            if command.kind is CommandKind.REFUSE:
                await self.refuse(link, command)
            else:
                await self.follow_successor(link, command)
        except (OSError, LinkError, TimeoutError):
            pass  # it is gone, or said nothing in time
        except Exception as error:
            self.log("task_failed", task="attend", **error_fields(error))
        finally:
            link.close()

    async def follow_successor(self, link: Link, command: Command) -> None:
        """From the first accepted message until one of the two processes ends."""
        this_process_ends = False
        try:
            await self.prepare_and_hand_over(link, command)
        except anyio.get_cancelled_exc_class():
            this_process_ends = True
            raise
        finally:
            self.successor = self.id_claims.successor = None
            if not this_process_ends:
                self.release_successor()

    async def prepare_and_hand_over(self, link: Link, command: Command) -> None:
        if command.kind is CommandKind.MAKE_ROOM:
            if not await self.make_room(link):
                return
            with anyio.fail_after(PREPARED_TIMEOUT_S):
                command = self.protocol.on_hello(await link.receive_message(), True, prepared=True)
            if command.kind is CommandKind.REFUSE:
                return await self.refuse(link, command)
        elif self.memory is not None:
            self.memory.begin_upgrade()  # a successor of an older version, which does not ask
        await self.hand_over(link)

    def release_successor(self) -> None:
        """The successor is gone: this process is alone again."""
        self.successor_needs_list = False
        self.execute(self.protocol.on_link_lost())
        if self.memory is not None and self.protocol.phase is Phase.NO_SUCCESSOR:
            self.memory.end_upgrade()
        if self.accept_scope is not None and self.upgrade_socket.is_replaced():
            self.accept_scope.cancel()  # it died before it said that it serves: `accept_successors` goes on

    async def receive_first_message(self, link: Link) -> Message:
        try:
            with anyio.fail_after(HELLO_TIMEOUT_S):
                return await link.receive_message()
        finally:
            self.pending_links -= 1

    async def make_room(self, link: Link) -> bool:
        """False if there is none for a second process; the successor is told why, and ends."""
        reason = self.memory.begin_upgrade() if self.memory is not None else None
        if reason is None and not self.has_made_room():
            await link.write_now({"say": "wait"})
            with anyio.move_on_after(ROOM_TIMEOUT_S):
                while not self.has_made_room():
                    await anyio.sleep(ROOM_CHECK_INTERVAL_S)
            if not self.has_made_room():
                reason = "limits.memory_mb: what open requests hold leaves no room for a second process"
        if reason is not None:
            self.log("handover_refused", error=reason)
        await link.write_now({"say": "go"} if reason is None else {"say": "no room", "why": reason})
        return reason is None

    def has_made_room(self) -> bool:
        return self.memory is None or self.memory.has_made_room()

    async def hand_over(self, link: Link) -> None:
        """Passes the state, and the clients once the successor serves."""
        self.successor = link
        self.log("handover", text="another process requests to take over")
        self.send_state(link)
        self.id_claims.successor = link  # behind the state, which has the ids of before
        async with anyio.create_task_group() as group:
            group.start_soon(self.report_open_work, link)
            await self.run_link(link, self.on_successor_message)
            group.cancel_scope.cancel()

    async def refuse(self, link: Link, command: Command) -> None:
        self.log("handover", text=f"refused: {command.reason}")
        await link.ask({"say": "no", "why": command.reason}, HELLO_TIMEOUT_S)

    def send_state(self, link: Link) -> None:
        """Raises whatever prevents sending the state; the descriptor is closed in that case."""
        state, descriptor = self.collect_state(), os.dup(self.client_listener().fileno())
        self.sent_list_index = state.get("list", {}).get("index", 0)
        try:
            queued = link.send(state, descriptor)
        except BaseException:
            os.close(descriptor)
            raise
        if not queued:
            os.close(descriptor)

    def on_successor_message(self, message: Message) -> None:
        say = message.get("say")
        if say == "serving":
            self.successor_needs_list = message.get("needs_list") is True  # an older one does not tell
            self.execute(self.protocol.on_serving())
        elif say == "list confirmed":
            self.successor_needs_list = False
        elif self.successor is not None:
            self.on_call_message(self.successor, message)

    def execute(self, commands: list[Command]) -> None:
        for command in commands:
            if command.kind is CommandKind.YIELD:
                self.log("handover", text="the next process serves; this one finishes its open requests")
                if self.accept_scope is not None:
                    self.accept_scope.cancel()
                self.on_yield()
            elif command.kind is CommandKind.RESUME:
                self.log("handover", text="the next process is gone; this one serves again")
                self.successor_lost.set()
                self.on_resume()

    def send_client(self, sock: socket.socket) -> bool:
        """Passes a client connection to the link. False, with the socket untouched, if there is no link."""
        link = self.successor
        if link is None or not link.has_room():
            return False
        return link.send({"say": "client"}, sock.detach())

    async def report_open_work(self, link: Link) -> None:
        """Reports work that is still open here, which counts against the successor's limits too, and newer
        endpoint lists: discovery may answer this process long before the successor's first call."""
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
        while self.successor is not None and self.successor.outgoing:
            await anyio.sleep(0.005)

    # Operators' calls apply to both processes.

    def on_call_message(self, link: Link, message: Message) -> None:
        say = message.get("say")
        if say == "call":
            try:
                status, _ = self.apply_call(AdminCall(str(message["what"]), str(message["member"])))
            except (KeyError, Malformed):
                status = 400
            link.send({"say": "done", "n": message.get("n"), "status": status})
        elif say == "done" and (event := self.pending_calls.get(message.get("n"))) is not None:
            event.set()
        else:
            self.id_claims.on_message(link, message)

    async def forward_call(self, call: AdminCall) -> None:
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
        if self.permitted is not None:
            self.permitted.close()
        for link in (self.predecessor, self.successor):
            if link is not None:
                link.close()
        if self.upgrade_socket is not None:
            self.upgrade_socket.close()
