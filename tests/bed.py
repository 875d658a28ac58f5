"""Test fixtures. `Bed` drives `rules.Sidecar` without the simulator and checks the rules after every step;
`Net` runs a whole program against stand-ins on loopback."""

from __future__ import annotations

import math
import re
import socket
import struct
import time

import anyio
import h11
import orjson

from lupinmill import terms as t
from lupinmill.program.process_settings import parse_settings
from lupinmill.program.sidecar import Program
from lupinmill.protocol.http import MAX_BODY_BYTES, Answer, ClientSide, Garbled, ServerSide
from lupinmill.rules import SECOND, Sidecar

NEVER = {t.Outcome.REFUSED, t.Outcome.UNCONNECTED, t.Outcome.UNSENT}
IDEM = t.Workload("view", SECOND, 2 * SECOND, 1.0, 0.2, t.RepeatPolicy.IDEMPOTENT)
KEYED = t.Workload(
    "bid", SECOND, 3 * SECOND, 4.0, 0.2, t.RepeatPolicy.DEDUPLICATED, t.DeduplicationScope.CELL, 2 * SECOND
)
KEYED_ALL = t.Workload(
    "save", SECOND, 3 * SECOND, 3.0, 0.0, t.RepeatPolicy.DEDUPLICATED, t.DeduplicationScope.ALL, SECOND
)
ONCE = t.Workload("issue", SECOND, 3 * SECOND, 2.0, 0.0, t.RepeatPolicy.UNREPEATABLE)


def deployment(**changes) -> t.Deployment:
    usual = dict(
        seed=7,
        instances=2,
        workloads=[IDEM, KEYED, KEYED_ALL, ONCE],
        cold_share=0.3,
        cold_time=5 * SECOND,
        round=5000,
        max_attempts=4,
        hedging_allowed=True,
        cancel_allowed=True,
        probes_allowed=True,
    )
    return t.Deployment(**(usual | changes))


def listing(number: int, state: t.EndpointStatus = t.EndpointStatus.READY, started: int = 0) -> t.ListEntry:
    return t.ListEntry(f"e{number}", state, "z", "k", str(number % 2), started)


class Bed:
    """Records what the decision module does and fails on the first broken rule."""

    def __init__(self, d: t.Deployment, endpoints: int = 4) -> None:
        self.d, self.now, self.serial = d, 100 * SECOND, 0
        self.sidecar = Sidecar(d)
        self.workloads = {w.name: w for w in d.workloads}
        self.unanswered: dict[str, t.RequestArrived] = {}
        self.attempts: dict[str, list[dict]] = {}  # of requests, also after their end
        self.answers: dict[str, t.Command] = {}
        self.closed: dict[str, str] = {}
        self.coming: set[str] = set()  # requests whose last byte has not arrived
        self.state: dict[str, t.EndpointStatus] = {}
        self.cells: dict[str, str] = {}
        self.wakes: list[int] = []
        self.logs: list[str] = []
        self.probes: list[str] = []
        self.to_forward: list[str] = []  # requests
        self.watches: list[int] = []
        self.step(t.ListReceived(t.ListKind.CACHED, [listing(i) for i in range(endpoints)]))

    def step(self, *events: t.Event, after: int = 0) -> list[t.Command]:
        self.now += after
        for event in events:
            self.record(event)
        commands = self.sidecar.step(self.now, list(events))
        for command in commands:
            self.check(command)
        for name, arrived in self.unanswered.items():
            assert self.now <= arrived.due + 20_000, f"{name} was not answered before its hard limit"
        return commands

    def run(self, span: int, stride: int = 5000) -> list[t.Command]:
        commands = []
        for _ in range(span // stride):
            due = [t.TimerFired(1) for at in self.wakes if at <= self.now + stride]
            self.wakes = [at for at in self.wakes if at > self.now + stride]
            if due:
                commands += self.step(*due, after=stride)
            else:
                self.now += stride
        return commands

    def arrive(self, workload: t.Workload, span: int | None = None, tenant: str = "") -> str:
        self.serial += 1
        name = f"s{self.serial}"
        self.step(t.RequestArrived(name, workload.name, self.now + (span or workload.hard_limit), tenant))
        return name

    def end(
        self, name: str, number: int, how: t.Outcome, load: t.LoadReport | None = None, **more
    ) -> list[t.Command]:
        attempt = self.attempts[name][number]
        handled = how is t.Outcome.HANDLED
        took = self.now - attempt["sent"]
        closed = handled or name not in self.unanswered
        return self.step(t.AttemptEnded(name, number, how, took, closed, load), **more)

    def out(self, name: str) -> list[int]:
        return [i for i, f in enumerate(self.attempts.get(name, [])) if f["how"] is None]

    def record(self, event: t.Event) -> None:
        if isinstance(event, t.RequestArrived):
            self.unanswered[event.request] = event
            self.attempts[event.request] = []
            if not event.whole:
                self.coming.add(event.request)
        elif isinstance(event, t.RequestBodyReceived):
            if event.request in self.unanswered:
                self.unanswered[event.request].due = event.due
            self.coming.discard(event.request)
        elif isinstance(event, t.AttemptEnded):
            self.attempts[event.request][event.attempt]["how"] = event.outcome
            if event.outcome is t.Outcome.HANDLED and self.unanswered.pop(event.request, None):
                self.closed[event.request] = "handled"
        elif isinstance(event, t.RequestCancelled):
            if self.unanswered.pop(event.request, None):
                self.closed[event.request] = "withdrawn"
        elif isinstance(event, t.ListReceived):
            for entry in event.entries:
                self.state[entry.endpoint], self.cells[entry.endpoint] = entry.state, entry.cell

    def check(self, command: t.Command) -> None:
        if isinstance(command, t.StartAttempt):
            self.check_launch(command)
        elif isinstance(command, (t.RejectRequest, t.AbortResponse)):
            name = command.request
            assert name in self.unanswered, f"{name} was answered twice or never opened"
            w = self.workloads[self.unanswered.pop(name).workload]
            self.closed[name] = "denied" if isinstance(command, t.RejectRequest) else "broken off"
            if isinstance(command, t.RejectRequest) and not (
                w.repeat is t.RepeatPolicy.IDEMPOTENT or w.group is t.DeduplicationScope.ALL
            ):
                assert not self.maybe(name), f"{name} may have run and was denied"
        elif isinstance(command, t.SetTimer):
            assert command.at > self.now
            self.wakes.append(command.at)
        elif isinstance(command, t.WriteLog):
            self.logs.append(command.text)
        elif isinstance(command, t.StartProbe):
            self.probes.append(command.endpoint)
        elif isinstance(command, t.StartWatch):
            self.watches.append(self.now)
        elif isinstance(command, t.CancelAttempt):
            assert command.attempt < len(self.attempts[command.request])
        elif isinstance(command, t.ForwardResponse):
            assert command.request in self.unanswered and self.out(command.request)
            self.to_forward.append(command.request)
        elif isinstance(command, t.AbandonAttempt):
            assert command.request in self.unanswered and self.out(command.request) == [command.attempt]
            self.attempts[command.request][command.attempt]["how"] = t.Outcome.SPOILT

    def maybe(self, name: str) -> list[dict]:
        return [f for f in self.attempts[name] if f["how"] not in NEVER]

    def check_launch(self, command: t.StartAttempt) -> None:
        name = command.request
        assert name in self.unanswered, f"{name} got an attempt after its end"
        assert (
            self.state[command.endpoint] is t.EndpointStatus.READY
        ), f"{command.endpoint} is not to be sent anything"
        w, earlier = self.workloads[self.unanswered[name].workload], self.maybe(name)
        if earlier and w.repeat is t.RepeatPolicy.UNREPEATABLE:
            raise AssertionError(f"{name} may run twice")
        if earlier and w.repeat is t.RepeatPolicy.DEDUPLICATED:
            assert self.now < earlier[0]["sent"] + w.window, f"{name} was sent again after its window"
            if w.group is t.DeduplicationScope.CELL:
                assert self.cells[command.endpoint] == self.cells[earlier[0]["endpoint"]], "outside its group"
        if not self.d.hedging_allowed:
            assert not self.out(name), f"{name} has two attempts in flight"
        assert len(self.attempts[name]) < self.d.max_attempts
        self.attempts[name].append({"endpoint": command.endpoint, "sent": self.now, "how": None})
        limit = self.sidecar.send_limit(name, len(self.attempts[name]) - 1)
        if not earlier or w.repeat is t.RepeatPolicy.IDEMPOTENT:
            assert limit == math.inf
        else:
            assert self.now < limit <= earlier[0]["sent"] + w.window, f"{name} may be sent after its window"


# --- the network: loopback stand-ins for endpoints and discovery around a whole program -----------------

NO_CHANCE_OF_STOPPING = 20  # seconds after which a test on sockets has failed


SPOILT = {
    "cut": b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf",
    "endless": b"HTTP/1.1 200 OK\r\n\r\nwho knows where this ends",
    "garbled": b"200 fine, thanks\r\n\r\n",
    "unfinished": b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf",
    "no end of the head": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Pad: 1",
    "huge": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
}
STAYS = ("unfinished", "no end of the head", "huge")  # the connection stays open after these


class Stand:
    """A server on loopback. `act(request)` returns an Answer, or the name of a fault."""

    def __init__(self, act) -> None:
        self.act, self.seen, self.address, self.open = act, [], "", 0

    async def run(self, *, task_status) -> None:
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            self.address = "127.0.0.1:%d" % listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started()
            await listener.serve(self.attend)

    async def attend(self, stream) -> None:
        self.open += 1
        try:
            async with stream:
                await self.converse(stream, ServerSide())
        except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            pass
        finally:
            self.open -= 1

    async def converse(self, stream, side) -> None:
        while True:
            while (request := side.next_request()) is None:
                side.feed(await stream.receive())
            self.seen.append(request)
            what = await self.act(request)
            if isinstance(what, Answer):
                await stream.send(side.answer(what, False))
                side.goes_on()
            elif isinstance(what, list):  # the pieces as they are, then the end of the connection
                for piece in what:
                    await stream.send(piece)
                    await anyio.sleep(0)
                return
            elif what == "silent":
                await stream.receive()
                return
            elif what in SPOILT:
                await stream.send(SPOILT[what])
                if what in STAYS:
                    await stream.receive()
                return
            elif what == "ahead":
                await stream.send(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
                await anyio.sleep(0.4)
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                return
            else:
                reset = struct.pack("ii", 1, 0)
                stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, reset
                )
                return


class DiscoveryStand(Stand):
    """Answers watches as the protocol requires; `fault` names what it does instead."""

    def __init__(self) -> None:
        super().__init__(self.answer)
        self.rows, self.index, self.changes, self.fault = [], 1, {}, None
        self.news = anyio.Event()

    def change(self, row: dict, **fields) -> None:
        row |= fields
        self.index += 1
        self.changes[self.index] = dict(row)
        self.news.set()
        self.news = anyio.Event()

    async def answer(self, request):
        if self.fault:
            return self.fault
        after = re.search(rb"index=(\d+)", request.target)
        known = int(after[1]) if after else None
        if known is not None and known >= self.index:
            wait = re.search(rb"wait=(\d+)", request.target)
            with anyio.move_on_after(int(wait[1]) / 1000 if wait else 0):
                await self.news.wait()
        whole = not known
        rows = self.rows if whole else [row for at, row in self.changes.items() if at > known]
        return Answer(200, [], orjson.dumps({"index": self.index, "snapshot": whole, "endpoints": rows}))


def settings(**more) -> dict:
    limits = {
        "most-launches": 4,
        "may-duplicate": True,
        "cancel": True,
        "probes": True,
        "retry-after": True,
        "max-retry-after-s": 1.0,
        "conn-idle-s": 30.0,
        "connect-timeout-s": 0.2,
    }
    workloads = [
        {"name": "view", "contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "repeatable"},
        {
            "name": "bid",
            "contract-time-s": 0.5,
            "hard-limit-s": 1.0,
            "repeat": "by_key",
            "group": "cell",
            "window-s": 1.0,
        },
        {"name": "issue", "contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "once"},
    ]
    usual = {
        "tier": 0,
        "instances": 1,
        "discovery": "ask",
        "round-s": 0.005,
        "workloads": workloads,
        "limits": limits,
        "load-report": {"how": "on_probe", "fields": ["waiting", "cpu"]},
        "invariants": {"ask-within-s": 1.0},
    }
    return usual | more


class Net:
    """A whole program among stand-ins. `events` are those its decision module received, `logs` what it
    logged."""

    def __init__(self, acts, sockets: int = 1024, known: bool = True, **more) -> None:
        self.stands, self.discovery = [Stand(act) for act in acts], DiscoveryStand()
        self.sockets, self.known, self.more = sockets, known, more
        self.operator = self.more.pop("operator", False)
        self.events, self.logs = [], []

    async def start(self, group) -> None:
        for stand in (*self.stands, self.discovery):
            await group.start(stand.run)
        self.discovery.rows = [
            {
                "name": f"e{at}",
                "address": stand.address,
                "zone": "z",
                "type": "k",
                "group": at % 2,
                "status": "SERVING",
                "weight": 1.0,
                "since_ms": 0,
            }
            for at, stand in enumerate(self.stands)
        ]
        rows = [dict(row) for row in self.discovery.rows] if self.known else []
        self.table = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "1f",
            "limits": {"sockets": self.sockets},
            "known": {"index": 1, "snapshot": True, "endpoints": rows},
            "settings": settings(**self.more),
        }

    async def start_program(self, group) -> None:
        if self.operator:
            self.table["operator"] = "127.0.0.1:0"
        told = parse_settings(self.table, {})
        self.program = Program(told, lambda event, **f: self.logs.append((event, f)), lambda: told)
        tell = self.program.engine.handle_event
        self.program.engine.handle_event = lambda event: (self.events.append(event), tell(event))
        self.address = await group.start(self.program.run)

    def ended(self) -> list[t.Outcome]:
        return [event.outcome for event in self.events if isinstance(event, t.AttemptEnded)]

    async def ask(self, data: bytes, gone_after: float | None = None) -> Answer | None:
        """One exchange on a connection of its own; None if it ended without a complete response."""
        self.began = time.time_ns() // 1000
        host, port = self.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(data)
            side = ClientSide(MAX_BODY_BYTES)
            side.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
            side.http.send(h11.EndOfMessage())
            with anyio.move_on_after(gone_after if gone_after is not None else 10):
                try:
                    while (answer := side.next_answer()) is None:
                        side.feed(await stream.receive())
                    return answer
                except (anyio.EndOfStream, anyio.BrokenResourceError, Garbled):
                    pass
        return None


def wanted(
    name: str, workload: str = "view", deadline: str = "1.0", body: bytes = b"", more: str = ""
) -> bytes:
    head = (
        f"POST /{workload}?q=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {name}\r\nReq-Kind: {workload}\r\n"
        f"Req-Deadline: {deadline}\r\nIdempotency-Key: k-{name}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def on_network(check, *acts, endpoint=None, net_of=Net, **more) -> Net:
    """Runs `check(net)` beside a whole program; afterwards nothing may be left that was leased. `endpoint`:
    serves connections in place of the first stand-in."""
    net = net_of(acts, **more)

    async def main() -> None:
        with anyio.fail_after(NO_CHANCE_OF_STOPPING):
            async with anyio.create_task_group() as group:
                await net.start(group)
                if endpoint is not None:
                    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                    address = "127.0.0.1:%d" % listener.extra(anyio.abc.SocketAttribute.local_port)
                    net.table["known"]["endpoints"][0]["address"] = address
                    net.discovery.rows[0]["address"] = address
                    group.start_soon(listener.serve, endpoint)
                async with anyio.create_task_group() as inner:
                    await net.start_program(inner)
                    await check(net)
                    inner.cancel_scope.cancel()
                group.cancel_scope.cancel()

    anyio.run(main)
    program = net.program
    assert (
        program.block_pool.leased == 0
        and not program.connection_pool.idle
        and program.descriptors.leaving == 0
    )
    assert program.memory.requests.leased == 0 and program.memory.large_bodies.leased == 0
    assert set(program.descriptors.open.values()) == {0} and not program.request_table.pending_requests
    return net
