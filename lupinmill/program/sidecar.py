"""One running sidecar: its parts put together, its signals, its end."""

from __future__ import annotations

import errno
import gc
import resource
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from lupinmill import terms as t
from lupinmill.admin.admin_handler import AdminHandler
from lupinmill.admin.admin_server import MAX_CONNECTIONS, AdminServer
from lupinmill.admin.operator_overrides import Mode, OperatorOverrides
from lupinmill.handover import handover_state
from lupinmill.handover.driver import Handover
from lupinmill.limits.gate import Gate
from lupinmill.discovery.driver import DiscoveryClient
from lupinmill.program.signals import ENDING, HANDLED, Signals
from lupinmill.program.process_settings import StartupError, ProcessSettings, changes_needing_restart
from lupinmill.protocol import lists
from lupinmill.protocol.client_requests import MAX_DEADLINE_S
from lupinmill.routing.admit import Admit
from lupinmill.routing.book import Book
from lupinmill.routing.directory import Directory
from lupinmill.routing.door import Door
from lupinmill.routing.engine import Clock, Engine, Log, defect
from lupinmill.routing.relay import Relay
from lupinmill.routing.route import Route
from lupinmill.routing.send import Send
from lupinmill.routing.take_in import TakeIn
from lupinmill.state import learned
from lupinmill.transport import wall_clock
from lupinmill.transport.descriptors import Descriptors, Side, shelf_of
from lupinmill.transport.listener import Listener
from lupinmill.transport.pool import Pool
from lupinmill.transport.ring import Shelf, Store

if TYPE_CHECKING:
    from lupinmill.peers.driver import Driver
    from lupinmill.program.fleet_state import FleetStatePublisher
    from lupinmill.program.live_config import LiveConfig
    from lupinmill.program.operators_file import File

LAG_EVERY, LAG_HIGH, LAG_LOW = 0.25, 0.05, 0.01  # seconds
AGAIN = 0.1  # seconds before a task that failed goes on
STILL_COMING = 0.6  # seconds after SIGTERM for which new connections go on coming, ...
# ... and beyond the longest hard limit (of 3 s at most) for which the platform lets the program live.
KILLED_AFTER, LONGEST_WAIT = 0.7, 3.0
CLOSING, SPARE = 500_000, 0.2  # before that for the last answers (microseconds), and for what comes late
PEERS_OWN = 3  # descriptors that the peers have: socket, lock, file
CONFIG_OWN = 3  # the watch on configuration: connection, file, its directory
# Seconds for which an address that another process still holds is asked for again, and between two tries.
HELD, HELD_AGAIN = 3.0, 0.05
ANSWERED = 1.0  # seconds beyond the longest deadline of a request after which the end waits for none any more
CLOSE_EVERY = 0.02  # seconds between two looks at idle clients while connections are to be closed


def allowed(told: int) -> int:
    """As many descriptors as the sidecar is told, if the system lets it have them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= told:
        return told
    most = told if hard == resource.RLIM_INFINITY else min(told, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    except (OSError, ValueError):
        return soft  # the system's own limit is lower than what it tells
    return most


class Program:
    """`signals`: what came before `run` has its receiver."""

    def __init__(
        self,
        told: ProcessSettings,
        log: Log,
        read_again: Callable[[], ProcessSettings],
        signals: Signals | None = None,
    ) -> None:
        base = told
        self.signals = signals
        self.reloads = 0  # signals to read the configuration again that came while this program started
        self.told_to_end: signal.Signals | None = None  # while it started
        self.found: tuple[dict[str, Any], socket.socket] | None = None  # by the process before this one
        self.beside_older = False  # a process before this one is there, whether or not it is taken over from
        self.predecessor_state: handover_state.HandoverState | None = None
        self.listener: Listener | None = None
        self.admin_server: AdminServer | None = None
        if watched := told.operators is not None and told.operators.config is not None:
            from lupinmill.program import live_config

            told, kept = live_config.load_kept(base, log)
        self.settings, self.log, self.read_again = told, log, read_again
        own = (MAX_CONNECTIONS if told.operator is not None else 0) + (
            PEERS_OWN if told.operators is not None else 0
        )
        own += CONFIG_OWN if watched else 0
        self.store, self.descriptors = Store(), Descriptors(allowed(told.descriptors) - own, told.memory)
        self.shelf = Shelf(shelf_of(told.memory))
        self.pool = Pool(self.descriptors, self.store, told.idle_timeout_s, told.connect_timeout_s)
        self.engine = Engine(told.deployment, Clock(), log)
        self.overrides = OperatorOverrides()
        self.directory = Directory(self.engine, self.pool, self.overrides.cordoned)
        self.book = Book(self.engine)
        workloads = {w.name for w in told.deployment.workloads}
        self.admit = Admit(self.book, self.directory, workloads, self.overrides)
        self.admin_handler = AdminHandler(self.overrides, self.directory, self.engine, log)
        self.discovery = DiscoveryClient(told.discovery, told.deployment, self.directory, self.store, log)
        self.engine.carriers[t.StartWatch] = self.discovery.watch
        self.admin_handler.discovery = self.discovery.show
        self.handover = Handover(told.directory, told.name, told.listen, log)
        self.repeats_before = 0  # launches again of the process before this one, when it told what it knew
        self.to_close = anyio.Event()  # something may ask for idle clients to be closed or passed
        self.admin_handler.on_mode_change = self.mode_changed
        self.fleet_state: FleetStatePublisher | None = None  # what the module goes by of the others
        self.peers = self.know_peers()
        self.operator: str | None = None  # where operators call, once bound
        self.live_config: LiveConfig | None = (
            None  # the watch on configuration, where the operator's file has one
        )
        if watched:
            self.live_config = live_config.LiveConfig(self, base, kept, log)
            self.admin_handler.config = self.live_config.show

    def know_peers(self) -> Driver | None:
        """Only where the operator's file says so; nothing is imported for it otherwise."""
        file = self.settings.operators
        if file is None or file.peers is None:
            return None
        from lupinmill.peers.driver import Driver
        from lupinmill.program import operators_file

        name = self.settings.name
        peers = Driver(
            operators_file.peer_settings(file, name),
            file.site,
            operators_file.bind_address(file, name),
            file.peers.keep or None,
            self.log,
        )
        self.admin_handler.peers, self.admin_handler.rehearse = peers.show, peers.rehearse
        if file.peers.live_count or file.zones is not None:
            self.hold_in_common(file, peers)
        return peers

    def hold_in_common(self, file: File, peers: Driver) -> None:
        from lupinmill.program import operators_file
        from lupinmill.program.fleet_state import FleetStatePublisher

        zone_driver, deployment = None, self.settings.deployment
        if file.zones is not None:
            from lupinmill.zones.driver import ZoneDriver

            map_ = operators_file.zone_map(file.zones, {w.name: w.value for w in deployment.workloads})
            zone_driver = ZoneDriver(
                map_, operators_file.peer_settings(file, self.settings.name), peers, self.engine, self.log
            )
            self.admin_handler.zones, self.admin_handler.run_zone_command = (
                zone_driver.show,
                zone_driver.request_action,
            )
        live = file.peers.live_count
        self.fleet_state = FleetStatePublisher(
            self.engine, peers, deployment.instances, live, zone_driver, self.log
        )

    def mode_changed(self) -> None:
        self.to_close.set()
        if self.peers is None:
            return
        tell = self.peers.rejoin if self.overrides.mode is Mode.SERVING else self.peers.leave
        try:
            tell()
        except Exception as error:
            self.log("task_failed", task="mode_changed", **defect(error))

    async def bound(self, kind: Callable[..., Any], address: str, *more: Any) -> Any:
        """The process before this one may hold the address for a moment still. Guards also against a line at
        the start that doesn't say which address can't be had."""
        given_up = anyio.current_time() + HELD
        while True:
            try:
                return kind(address, *more)
            except OSError as error:
                waited = anyio.current_time() >= given_up or self.told_to_end is not None
                if error.errno != errno.EADDRINUSE or waited:
                    raise OSError(error.errno, f"{address}: {error.strerror}") from error
            await anyio.sleep(HELD_AGAIN)

    async def run(self, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        # The receiver comes first and goes last: without it a signal ends the process.
        with anyio.open_signal_receiver(*HANDLED) as signals:
            try:
                if await self.begin(signals):
                    await self.serve(signals, task_status)
                self.log("stopped")
            finally:
                if self.signals is not None:
                    self.signals.block()

    async def begin(self, signals: AsyncIterator[signal.Signals]) -> bool:
        """Takes over what there is and binds the addresses. False where the signal to end came while nothing
        was bound or taken over yet: the process before this one goes on as if it had not been asked."""
        if self.signals is not None and self.signals.ending():
            self.log("leaving", signal="before the start", open=0)
            return False
        failed: OSError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self.hear_end, signals, group.cancel_scope)
            try:
                await self.take_over()
            except OSError as error:
                failed = error
            group.cancel_scope.cancel()
        if self.listener is not None:
            return True
        if self.admin_server is not None:
            self.admin_server.close()
        self.handover.close()
        if failed is not None:
            raise failed
        return False

    async def hear_end(self, signals: AsyncIterator[signal.Signals], start: anyio.CancelScope) -> None:
        """While this program starts. Once it has a listening socket, clients may be in its queue already:
        then it starts, and ends in the usual way."""
        async for number in signals:
            if number in ENDING:
                self.told_to_end = number
                if self.found is None:
                    self.log("leaving", signal=number.name, open=0)
                    start.cancel()
                return
            self.reloads += 1

    async def take_over(self) -> None:
        """The listener comes last: from then on nothing is waited for before clients are served."""
        self.found, sock = await self.handover.request_state(), None
        self.beside_older = self.found is not None
        if self.found is not None:
            table, sock = self.found
            try:
                self.predecessor_state = handover_state.decode(table, self.overrides)
            except handover_state.InvalidHandoverState as error:
                self.log("handover_refused", error=str(error))
                self.handover.decline()
                sock.close()
                self.found = sock = None
        if self.settings.operator is not None:
            self.admin_server = await self.bound(
                AdminServer, self.settings.operator, self.admin_handler.handle, self.log
            )
        if self.found is not None or self.told_to_end is None:
            self.listener = await self.bound(
                Listener, self.settings.listen, self.descriptors, self.store, sock
            )

    async def serve(self, signals: AsyncIterator[signal.Signals], task_status: TaskStatus[str]) -> None:
        deployment, listener = self.settings.deployment, self.listener
        assert listener is not None
        send = Send(self.pool, self.directory, self.book, deployment.reports_asked, self.log)
        advice = deployment.longest_advice // 2 if deployment.advice_allowed else 0
        self.admit.advice = advice
        self.door = door = listener.door = Door(Gate(deployment), self.book, self.log)
        self.take_in = take_in = TakeIn(
            listener, self.admit, Relay(self.book, self.log), door, advice, self.log, self.shelf
        )
        take_in.closing = lambda: not listener.passing and self.overrides.closes_connections(
            self.engine.clock.now()
        )
        try:
            async with anyio.create_task_group() as group:
                Route(self.engine, self.book, send, group)
                self.begin_list(self.predecessor_state)
                self.start_tasks(group, listener)
                self.log_start(listener)
                gc.collect()
                gc.freeze()
                gc.set_threshold(20_000, 20, 20)
                task_status.started(listener.address)
                self.look_again()
                await self.obey(signals)
                await self.leave(listener, take_in)
                group.cancel_scope.cancel()
        finally:
            listener.close()
            self.handover.close()
            if self.admin_server is not None:
                self.admin_server.close()
            self.pool.close()
            self.discovery.close_spare()

    def start_tasks(self, group: TaskGroup, listener: Listener) -> None:
        for task in (
            self.engine.keep_time,
            self.discovery.run,
            self.sweep,
            self.measure_lag,
            self.admin_handler.sweep,
        ):
            group.start_soon(self.keep_up, task)
        group.start_soon(self.keep_up, listener.run, group, self.take_in.serve)
        self.hand_over(listener, self.take_in, group)
        group.start_soon(self.keep_up, self.close_idle, listener)
        if self.admin_server is not None:
            group.start_soon(self.keep_up, self.admin_server.run, group)
            self.operator = self.admin_server.address
        if self.peers is not None:
            group.start_soon(self.keep_up, self.peers.run, self.beside_older)
        if self.fleet_state is not None:
            group.start_soon(self.keep_up, self.fleet_state.run)
        if self.live_config is not None:
            group.start_soon(self.keep_up, self.live_config.run)
        self.admin_handler.accepting_clients = lambda: True

    def log_start(self, listener: Listener) -> None:
        told = self.settings
        self.log(
            "started",
            tier=told.deployment.tier,
            listen=listener.address,
            operator=self.operator,
            endpoints=len(self.directory.states),
            descriptors=self.descriptors.limit,
        )
        if told.unused:
            self.log("settings_unused", fields=list(told.unused))
        if told.known.refused:
            self.log("known_refused", rows=told.known.refused)

    def look_again(self) -> None:
        """A configuration that came while this program started: a signal that tells of it may have come
        before its receiver was there."""
        if self.reloads or self.signals is not None and self.signals.reload():
            self.reload(always=self.reloads > 0 or signal.SIGHUP in self.signals.came)

    async def keep_up(self, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """One defect in a task that lasts as long as the program must not end the program."""
        while True:
            try:
                return await task(*args)
            except Exception as error:
                self.log("task_failed", task=task.__name__, **defect(error))
                await anyio.sleep(AGAIN)

    async def obey(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Returns at the signal to end."""
        if self.told_to_end is not None:
            self.log("leaving", signal=self.told_to_end.name, open=len(self.book.journeys))
            return
        async for signum in signals:
            if signum in ENDING:
                self.log("leaving", signal=signum.name, open=len(self.book.journeys))
                return
            self.reload()

    def reload(self, always: bool = True) -> None:
        """The file anew, whole or not at all. A defect costs this one reload. `always`: it was asked for, and
        is told in the log also where nothing changed."""
        try:
            told, before = (
                self.read_again(),
                self.live_config.base if self.live_config is not None else self.settings,
            )
            if always or self.differs(before, told):
                self.put_in_force(before, told)
        except StartupError as error:
            self.log("reload_refused", error=str(error))
        except Exception as error:
            self.log("reload_refused", **defect(error))

    def differs(self, before: ProcessSettings, told: ProcessSettings) -> bool:
        alive = (before.discovery, before.operators) != (told.discovery, told.operators)
        return (
            alive
            or before.settings != told.settings
            or bool(changes_needing_restart(before, told, self.live_config is not None))
        )

    def put_in_force(self, before: ProcessSettings, told: ProcessSettings) -> None:
        if others := changes_needing_restart(before, told, self.live_config is not None):
            self.log("reload_refused", error="these want a new start", fields=others)
            return
        if self.live_config is not None:
            if (why := self.live_config.rebase(told)) is not None:
                self.log("reload_refused", error=why)
                return
        else:
            if told.operators != before.operators:
                self.change_peers(told)
            self.settings = told
        if told.discovery != before.discovery:
            self.discovery.move(told.discovery)
        self.log("reloaded", discovery=told.discovery)

    def change_peers(self, told: ProcessSettings) -> None:
        """Another roster, from now on."""
        if self.peers is None or told.operators is None:
            return
        from lupinmill.program import operators_file

        peers = operators_file.peer_settings(told.operators, told.name)
        self.peers.change_settings(peers)
        if self.fleet_state is not None and self.fleet_state.zone_driver is not None:
            self.fleet_state.zone_driver.update_members(peers)

    async def leave(self, listener: Listener, take_in: TakeIn) -> None:
        """Clients go on using the connections that they have, and where this is their only sidecar they have
        no other: they are served until little time is left, and only then sent away."""
        longest = max(workload.hard_limit for workload in self.settings.deployment.workloads) / 1_000_000
        stay = min(longest, LONGEST_WAIT) + KILLED_AFTER - SPARE
        last = max(stay, MAX_DEADLINE_S + ANSWERED)
        self.handover.protocol.on_shutdown()
        now = self.engine.clock.now()
        ends = now + int(stay * 1_000_000)
        self.overrides.begin_shutdown(now, ends - CLOSING, ends)
        self.mode_changed()
        began = anyio.current_time()
        # Answers under way count too: a submission is settled some passes before its client has the answer.
        while (waited := anyio.current_time() - began) < stay or self.book.journeys or take_in.answering:
            # Those just accepted count, whose tasks have not begun.
            clients = self.descriptors.open[Side.CLIENT] + listener.turning_away
            if not clients and (waited >= STILL_COMING or not self.handover.protocol.accepts_clients()):
                break
            if waited >= last:
                # Guards against an end that never comes, for a request that a defect has left open.
                self.log("task_failed", task="leave", error=f"{len(self.book.journeys)} requests left open")
                break
            await anyio.sleep(CLOSE_EVERY)
        with anyio.move_on_after(SPARE):
            await self.handover.flush()

    def begin_list(self, taken: handover_state.HandoverState | None) -> None:
        """As told at the start, or as the process before this one knew it, with what it learned."""
        try:
            self.directory.update(self.settings.known if taken is None else taken.known, t.ListKind.CACHED)
        except Exception as error:
            self.log("known_refused", **defect(error))
            self.directory.update(lists.EndpointList(0, True, [], {}), t.ListKind.CACHED)
        if taken is None:
            return
        for name in self.overrides.cordoned:
            self.directory.by_hand(name, True)
        try:
            learned.recall(self.engine.sidecar, taken.learned, self.engine.clock.now())
        except Exception as error:
            self.log("handover_refused", **defect(error))
        self.engine.tell(t.TimerFired(1))
        self.descriptors.elsewhere, self.repeats_before = taken.open_descriptors, taken.retries
        self.discovery.watch(t.StartWatch())  # at once: what it tells from now on binds this process

    def hand_over(self, listener: Listener, take_in: TakeIn, group: TaskGroup) -> None:
        """What an upgrade does to the parts of this program, on either side of it."""
        handover, descriptors = self.handover, self.descriptors

        def held() -> int:
            return sum(descriptors.open.values())

        def state() -> dict[str, Any]:
            known = learned.learned(self.engine.sidecar)
            return handover_state.encode(listed(), self.overrides, known, held()) | {
                "repeats": self.book.repeats
            }

        def listed() -> dict[str, Any]:
            directory = self.directory
            rows = self.engine.sidecar.registry.listed
            return handover_state.encode_list(rows, directory.addresses, directory.index)

        def later_list(index: int) -> dict[str, Any] | None:
            if self.directory.index in (None, index) or not self.discovery.watcher.list_is_current():
                return None
            return {"address": self.discovery.watcher.address, "list": listed()}

        def take_list(told: dict[str, Any]) -> None:
            """Versions can be compared only where both processes ask the same discovery."""
            known, before, watcher = lists.parse(told["list"]), self.directory.index, self.discovery.watcher
            if told["address"] != watcher.address or not watcher.list_is_current():
                return
            if before is not None and known.index > before:
                self.log("handover", text=f"list {known.index} of the process before this one")
                self.directory.update(known, t.ListKind.FULL)

        def yield_() -> None:
            listener.pause()
            listener.passing = True
            self.to_close.set()
            take_in.pass_on = lambda client: handover.send_client(client.sock)
            self.pool.close()
            listener.dismiss_all()
            if self.peers is not None:
                self.peers.resign()
            if self.live_config is not None:
                self.live_config.watch.keeping = False

        def take_up() -> None:
            take_in.pass_on, listener.passing = None, False
            listener.resume()
            if self.peers is not None:
                self.peers.resume()
            if self.live_config is not None:
                self.live_config.watch.keeping = True

        def adopt(sock: socket.socket) -> None:
            descriptors.elsewhere = max(0, descriptors.elsewhere - 1)
            try:
                listener.adopt(sock, group, take_in.serve)
            except OSError:
                pass  # that one connection broke; it must not end the link that the others come by

        repeats = self.repeats_before

        def still() -> dict[str, Any]:
            book = self.book
            return {"held": held(), "flying": book.out(), "ids": list(book.journeys), "repeats": book.repeats}

        def elsewhere(told: dict[str, Any]) -> None:
            """What the process before this one still has open; nothing once it has ended."""
            nonlocal repeats
            now_repeats = int(told.get("repeats", repeats))
            descriptors.elsewhere = int(told.get("held", 0))
            self.book.elsewhere = {str(name) for name in told.get("ids", ())}
            flying = {str(name): int(count) for name, count in dict(told.get("flying", {})).items()}
            self.engine.tell(t.PredecessorLoad(flying, max(0, now_repeats - repeats)))
            repeats = now_repeats

        handover.collect_state, handover.collect_open_work, handover.client_listener = (
            state,
            still,
            lambda: listener.sock,
        )
        handover.on_yield, handover.on_resume = yield_, take_up
        handover.adopt_client, handover.on_predecessor_work = adopt, elsewhere
        handover.newer_list, handover.on_list = later_list, take_list
        # The other process knew the endpoint; this one's list may be behind.
        handover.apply_call = lambda call: self.admin_handler.apply(call, True)
        self.admin_handler.forward = handover.forward_call
        handover.start(group)

    async def close_idle(self, listener: Listener) -> None:
        """While this sidecar drains, leaves or passes its clients on; else it sleeps."""
        while True:
            while not listener.passing and self.overrides.close_connections_at is None:
                await self.to_close.wait()
                self.to_close = anyio.Event()
            await anyio.sleep(CLOSE_EVERY)
            if listener.passing or self.overrides.closes_connections(self.engine.clock.now()):
                listener.dismiss_all()

    async def sweep(self) -> None:
        while True:
            await anyio.sleep(1.0)
            self.pool.sweep()

    async def measure_lag(self) -> None:
        """A loop that lags makes every endpoint look slow: the log must tell the two apart."""
        lagging = False
        while True:
            due = anyio.current_time() + LAG_EVERY
            await anyio.sleep(LAG_EVERY)
            late = anyio.current_time() - due
            if late > LAG_HIGH if not lagging else late < LAG_LOW:
                lagging = not lagging
                self.log("lagging" if lagging else "lag_over", late_ms=round(late * 1000, 1))
            if step := wall_clock.SHARED.take_step():
                self.log("clock_set", by_ms=round(step / 1000))
