"""One running sidecar: wires its parts together, handles signals, and shuts down."""

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
from lupinmill.discovery.confirmation import ListState
from lupinmill.discovery.driver import DiscoveryClient
from lupinmill.handover import handover_state
from lupinmill.handover.driver import Handover
from lupinmill.limits.gate import AdmissionGate
from lupinmill.program.loop_monitor import LoopMonitor
from lupinmill.program.process_memory import ProcessMemory
from lupinmill.program.process_settings import ProcessSettings, StartupError, changes_needing_restart
from lupinmill.program.shutdown import Shutdown
from lupinmill.program.signals import HANDLED_SIGNALS, SHUTDOWN_SIGNALS, Signals
from lupinmill.program.upgrade import Upgrade
from lupinmill.protocol import lists
from lupinmill.routing.admission import AdmissionController
from lupinmill.routing.attempt_runner import AttemptRunner
from lupinmill.routing.client_handler import ClientHandler
from lupinmill.routing.command_executor import CommandExecutor
from lupinmill.routing.directory import EndpointDirectory
from lupinmill.routing.engine import Engine, Log, error_fields
from lupinmill.routing.request_factory import RequestFactory
from lupinmill.routing.request_table import RequestTable
from lupinmill.routing.response_writer import ResponseWriter
from lupinmill.state import learned
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.clocks import ClockReading, MonotonicClock
from lupinmill.transport.connection_pool import ConnectionPool
from lupinmill.transport.descriptors import DescriptorBudget
from lupinmill.transport.listener import Listener

if TYPE_CHECKING:
    from lupinmill.peers.driver import Driver
    from lupinmill.program.fleet_state import FleetStatePublisher
    from lupinmill.program.live_config import LiveConfig
    from lupinmill.program.operators_file import File

TASK_RESTART_DELAY_S = 0.1
PEER_DESCRIPTORS = 3  # socket, lock, file
CONFIG_DESCRIPTORS = 3  # connection, file, its directory
# Retries to bind an address that another process still holds.
BIND_RETRY_S, BIND_RETRY_INTERVAL_S = 3.0, 0.05
IDLE_CHECK_INTERVAL_S = 0.02  # while idle clients' connections are being closed


def raise_descriptor_limit(wanted: int) -> int:
    """Raises the soft limit towards `wanted`. Returns the number of descriptors that may be used."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    limit = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    except (OSError, ValueError):
        return soft  # the system's actual limit is lower than the one it reports
    return limit


def initial_list_state(state: handover_state.HandoverState | None) -> ListState:
    """The state of the list that a process starts with: discovery may have changed the configured one since,
    while a predecessor watches its own. A predecessor of an older version does not tell."""
    if state is None:
        return ListState.AWAITED
    if state.list_state in ("", ListState.CONFIRMED.value):
        return ListState.INHERITED
    in_use = (ListState.UNREACHABLE, ListState.OVERDUE)
    return next((each for each in in_use if each.value == state.list_state), ListState.AWAITED)


class Program:
    """`signals`: records those that arrive before `run` has opened its receiver. `permitted`: a connection to
    the predecessor, which has made room for this process. `start_memory`: bytes that this process held alone
    when it asked for that, as its successor will."""

    def __init__(
        self,
        settings: ProcessSettings,
        log: Log,
        read_settings: Callable[[], ProcessSettings],
        signals: Signals | None = None,
        permitted: socket.socket | None = None,
        start_memory: int = 0,
    ) -> None:
        platform_settings = settings
        self.signals = signals
        self.reloads = 0  # SIGHUPs that arrived during the start
        self.shutdown_signal: signal.Signals | None = None  # that arrived during the start
        # The state and the listening socket that the predecessor handed over.
        self.inherited: tuple[dict[str, Any], socket.socket] | None = None
        self.has_predecessor = False  # even where its state is not taken over
        self.predecessor_state: handover_state.HandoverState | None = None
        self.listener: Listener | None = None
        self.admin_server: AdminServer | None = None
        if watched := settings.operator_file is not None and settings.operator_file.config is not None:
            from lupinmill.program import live_config

            settings, kept = live_config.load_kept(platform_settings, log)
        self.settings, self.log, self.read_settings = settings, log, read_settings
        reserved = (MAX_CONNECTIONS if settings.admin_address is not None else 0) + (
            PEER_DESCRIPTORS if settings.operator_file is not None else 0
        )
        reserved += CONFIG_DESCRIPTORS if watched else 0
        self.block_pool = BlockPool()
        self.descriptors = DescriptorBudget(raise_descriptor_limit(settings.descriptors) - reserved)
        self.memory = ProcessMemory(settings.memory, self.descriptors, self.block_pool, log, start_memory)
        self.body_memory = self.memory.large_bodies
        self.connection_pool = ConnectionPool(
            self.descriptors, self.block_pool, settings.idle_timeout_s, settings.connect_timeout_s
        )
        self.engine = Engine(settings.deployment, MonotonicClock(), log)
        self.loop_monitor = LoopMonitor(log)
        self.overrides = OperatorOverrides()
        self.directory = EndpointDirectory(self.engine, self.connection_pool, self.overrides.cordoned)
        self.request_table = RequestTable(self.engine)
        self.memory.shed = self.request_table.shed
        workloads = {w.name for w in settings.deployment.workloads}
        self.request_factory = RequestFactory(self.request_table, self.directory, workloads, self.overrides)
        self.admin_handler = AdminHandler(self.overrides, self.directory, self.engine, log)
        self.discovery = DiscoveryClient(
            settings.discovery, settings.deployment, self.directory, self.block_pool, log
        )
        self.engine.command_handlers[t.StartWatch] = self.discovery.watch
        self.admin_handler.discovery = self.discovery.show
        self.admin_handler.memory = self.memory.figures
        self.handover = Handover(
            settings.upgrade_directory, settings.name, settings.listen, log, self.memory, permitted
        )
        self.predecessor_retries = 0  # the predecessor's retries at the time of its state
        self.close_requested = anyio.Event()  # set when idle connections may have to be closed or passed on
        self.admin_handler.on_mode_change = self.mode_changed
        self.fleet_state: FleetStatePublisher | None = None
        self.peers = self.create_peers()
        self.operator: str | None = None  # the bound address of the admin server
        self.live_config: LiveConfig | None = None  # where the operator's file has [config]
        if watched:
            self.live_config = live_config.LiveConfig(self, platform_settings, kept, log)
            self.admin_handler.config = self.live_config.show

    def create_peers(self) -> Driver | None:
        """Creates the peers' driver if the operator's file asks for it; only then imports its modules."""
        file = self.settings.operator_file
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
            self.create_fleet_state(file, peers)
        return peers

    def create_fleet_state(self, file: File, peers: Driver) -> None:
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
        self.close_requested.set()
        if self.peers is None:
            return
        announce = self.peers.rejoin if self.overrides.mode is Mode.SERVING else self.peers.leave
        try:
            announce()
        except Exception as error:
            self.log("task_failed", task="mode_changed", **error_fields(error))

    async def bind(self, create: Callable[..., Any], address: str, *args: Any) -> Any:
        """Binds an address, retrying as the predecessor may still hold it. An OSError names the address."""
        deadline = anyio.current_time() + BIND_RETRY_S
        while True:
            try:
                return create(address, *args)
            except OSError as error:
                final = anyio.current_time() >= deadline or self.shutdown_signal is not None
                if error.errno != errno.EADDRINUSE or final:
                    raise OSError(error.errno, f"{address}: {error.strerror}") from error
            await anyio.sleep(BIND_RETRY_INTERVAL_S)

    async def run(self, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        # The receiver is opened first and closed last: without it a signal ends the process.
        with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            try:
                if await self.begin(signals):
                    await self.serve(signals, task_status)
                self.log("stopped")
            finally:
                if self.signals is not None:
                    self.signals.block()

    async def begin(self, signals: AsyncIterator[signal.Signals]) -> bool:
        """Takes over from a predecessor and binds the addresses. False where a shutdown signal arrived before
        anything was bound or taken over: the predecessor then goes on as if it had not been asked. Raises
        StartupError if the memory limit is too low."""
        if self.signals is not None and self.signals.shutdown_requested():
            self.log("leaving", signal="before the start", open=0)
            return False
        self.memory.check_start(len(self.settings.initial_list.entries))
        failed: OSError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch_start_signals, signals, group.cancel_scope)
            try:
                await self.take_over_and_bind()
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

    async def watch_start_signals(
        self, signals: AsyncIterator[signal.Signals], start: anyio.CancelScope
    ) -> None:
        """Handles signals during the start. Once there is a listening socket, clients may be in its queue:
        then the start is completed before the usual shutdown."""
        async for number in signals:
            if number in SHUTDOWN_SIGNALS:
                self.shutdown_signal = number
                if self.inherited is None:
                    self.log("leaving", signal=number.name, open=0)
                    start.cancel()
                return
            self.reloads += 1

    async def take_over_and_bind(self) -> None:
        """Binds the listener last: from then on clients may wait, and nothing else may delay serving them."""
        self.inherited, sock = await self.handover.request_state(), None
        self.has_predecessor = self.inherited is not None
        if self.inherited is not None:
            table, sock = self.inherited
            try:
                received = ClockReading.take()
                self.predecessor_state = state = handover_state.decode(table, self.overrides, received)
                self.log("handover_state", **handover_state.log_fields(state, self.overrides, received))
            except handover_state.InvalidHandoverState as error:
                self.log("handover_refused", error=str(error))
                self.handover.decline()
                sock.close()
                self.inherited = sock = None
        if self.settings.admin_address is not None:
            self.admin_server = await self.bind(
                AdminServer, self.settings.admin_address, self.admin_handler.handle, self.log
            )
        if self.inherited is not None or self.shutdown_signal is None:
            self.listener = await self.bind(
                Listener,
                self.settings.listen,
                self.descriptors,
                self.block_pool,
                sock,
                self.memory.requests,
            )

    async def serve(self, signals: AsyncIterator[signal.Signals], task_status: TaskStatus[str]) -> None:
        deployment, listener = self.settings.deployment, self.listener
        assert listener is not None
        attempt_runner = AttemptRunner(
            self.connection_pool, self.directory, self.request_table, deployment.reports_asked, self.log
        )
        advice = deployment.longest_advice // 2 if deployment.advice_allowed else 0
        self.request_factory.retry_after = advice
        listener.closer.log, self.admin_handler.clients = self.log, listener.closer.figures
        self.admission = admission = listener.admission = AdmissionController(
            AdmissionGate(deployment), self.request_table, self.log
        )
        self.client_handler = client_handler = ClientHandler(
            listener,
            self.request_factory,
            ResponseWriter(self.request_table, self.log),
            admission,
            advice,
            self.log,
            self.memory.requests,
            self.body_memory,
        )
        client_handler.on_memory_shortage = self.memory.count_refusal
        client_handler.closing = lambda: not listener.handing_over and self.overrides.closes_connections(
            self.engine.clock.now()
        )
        try:
            async with anyio.create_task_group() as group:
                CommandExecutor(self.engine, self.request_table, attempt_runner, group)
                self.load_initial_list(self.predecessor_state)
                self.start_tasks(group, listener)
                gc.collect()
                gc.freeze()
                gc.set_threshold(20_000, 20, 20)
                self.memory.divide()
                self.log_start(listener)
                task_status.started(listener.address)
                self.reload_if_changed()
                await self.handle_signals(signals)
                await Shutdown(self, listener, client_handler).run()
                group.cancel_scope.cancel()
        finally:
            listener.close()
            self.handover.close()
            if self.admin_server is not None:
                self.admin_server.close()
            self.connection_pool.close()
            self.discovery.close_spare()

    def start_tasks(self, group: TaskGroup, listener: Listener) -> None:
        for task in (
            self.engine.run_timer,
            self.discovery.run,
            self.sweep,
            self.loop_monitor.measure_lag,
            self.memory.watch,
            self.admin_handler.sweep,
        ):
            group.start_soon(self.restart_on_failure, task)
        group.start_soon(self.restart_on_failure, listener.run, group, self.client_handler.serve)
        Upgrade(self, listener, self.client_handler, group).connect()
        group.start_soon(self.restart_on_failure, self.close_idle, listener)
        if self.admin_server is not None:
            group.start_soon(self.restart_on_failure, self.admin_server.run, group)
            self.operator = self.admin_server.address
        if self.peers is not None:
            group.start_soon(self.restart_on_failure, self.peers.run, self.has_predecessor)
        if self.fleet_state is not None:
            group.start_soon(self.restart_on_failure, self.fleet_state.run)
        if self.live_config is not None:
            group.start_soon(self.restart_on_failure, self.live_config.run)
        self.admin_handler.accepting_clients = lambda: True

    def log_start(self, listener: Listener) -> None:
        settings = self.settings
        self.log(
            "started",
            tier=settings.deployment.tier,
            listen=listener.address,
            operator=self.operator,
            endpoints=len(self.directory.states),
            list_state=self.discovery.list_state.value,
            descriptors=self.descriptors.limit,
        )
        self.loop_monitor.log_clock_difference()
        if settings.memory is not None:
            self.log("memory", **self.memory.figures())
        if settings.unused:
            self.log("settings_unused", fields=list(settings.unused))
        if settings.initial_list.refused:
            self.log("known_refused", rows=settings.initial_list.refused)

    def reload_if_changed(self) -> None:
        """Reloads settings that may have changed during the start, before the signal receiver was open."""
        if self.reloads or self.signals is not None and self.signals.reload_needed():
            self.reload(always=self.reloads > 0 or signal.SIGHUP in self.signals.received)

    async def restart_on_failure(self, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """Restarts a task that failed: a defect in one long-running task must not end the program."""
        while True:
            try:
                return await task(*args)
            except Exception as error:
                self.log("task_failed", task=task.__name__, **error_fields(error))
                await anyio.sleep(TASK_RESTART_DELAY_S)

    async def handle_signals(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Returns on a shutdown signal."""
        if self.shutdown_signal is not None:
            self.log(
                "leaving", signal=self.shutdown_signal.name, open=len(self.request_table.pending_requests)
            )
            return
        async for signum in signals:
            if signum in SHUTDOWN_SIGNALS:
                self.log("leaving", signal=signum.name, open=len(self.request_table.pending_requests))
                return
            self.reload()

    def reload(self, always: bool = True) -> None:
        """Reads the settings again, and applies all changes or none. A defect fails this reload only.

        `always`: the reload was requested, and is logged even where nothing changed."""
        try:
            new, old = (
                self.read_settings(),
                self.live_config.platform_settings if self.live_config is not None else self.settings,
            )
            if always or self.differs(old, new):
                self.apply_settings(old, new)
        except StartupError as error:
            self.log("reload_refused", error=str(error))
        except Exception as error:
            self.log("reload_refused", **error_fields(error))

    def differs(self, old: ProcessSettings, new: ProcessSettings) -> bool:
        live_changed = (old.discovery, old.operator_file) != (new.discovery, new.operator_file)
        return (
            live_changed
            or old.settings != new.settings
            or bool(changes_needing_restart(old, new, self.live_config is not None))
        )

    def apply_settings(self, old: ProcessSettings, new: ProcessSettings) -> None:
        if changed := changes_needing_restart(old, new, self.live_config is not None):
            self.log("reload_refused", error="these need a restart", fields=changed)
            return
        if self.live_config is not None:
            if (reason := self.live_config.rebase(new)) is not None:
                self.log("reload_refused", error=reason)
                return
        else:
            if new.operator_file != old.operator_file:
                self.change_peers(new)
            self.settings = new
        if new.discovery != old.discovery:
            self.discovery.move(new.discovery)
        self.log("reloaded", discovery=new.discovery)

    def change_peers(self, settings: ProcessSettings) -> None:
        """Applies a changed list of members."""
        if self.peers is None or settings.operator_file is None:
            return
        from lupinmill.program import operators_file

        peers = operators_file.peer_settings(settings.operator_file, settings.name)
        self.peers.change_settings(peers)
        if self.fleet_state is not None and self.fleet_state.zone_driver is not None:
            self.fleet_state.zone_driver.update_members(peers)

    def load_initial_list(self, state: handover_state.HandoverState | None) -> None:
        """Loads the configured list of endpoints, or the predecessor's list with what that has learned."""
        if state is not None:
            self.directory.start_times.adopt(state.starts, state.known.entries)
        try:
            self.directory.update(
                self.settings.initial_list if state is None else state.known, t.ListKind.CACHED
            )
        except Exception as error:
            self.log("known_refused", **error_fields(error))
            self.directory.update(lists.EndpointList(0, True, [], {}), t.ListKind.CACHED)
        # The directory and the decision module have what they need of it.
        self.settings.initial_list.entries.clear()
        self.settings.initial_list.addresses.clear()
        self.discovery.start_with_list(initial_list_state(state))
        if state is None:
            return
        for name in self.overrides.cordoned:
            self.directory.set_cordoned(name, True)
        try:
            learned.recall(self.engine.sidecar, state.learned, self.engine.clock.now(), state.unix_ahead)
        except Exception as error:
            self.log("handover_refused", **error_fields(error))
        self.engine.handle_event(t.TimerFired(1))
        self.descriptors.held_by_predecessor, self.predecessor_retries = state.open_descriptors, state.retries
        self.memory.count_predecessor(state.private_memory)
        for digest in state.used_ids:
            self.request_table.learn_used_id(digest)
        if self.fleet_state is not None:
            self.fleet_state.continue_reports(state.report_serial)
        self.discovery.watch(
            t.StartWatch()
        )  # at once: changes that discovery sends from now on bind this process

    async def close_idle(self, listener: Listener) -> None:
        """Closes idle connections while this sidecar drains, shuts down or passes its clients on."""
        while True:
            while not listener.handing_over and self.overrides.close_connections_at is None:
                await self.close_requested.wait()
                self.close_requested = anyio.Event()
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            if listener.handing_over or self.overrides.closes_connections(self.engine.clock.now()):
                listener.close_all_idle()

    async def sweep(self) -> None:
        while True:
            await anyio.sleep(1.0)
            self.connection_pool.close_expired()
