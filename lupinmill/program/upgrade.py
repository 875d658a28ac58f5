"""Connects the parts of the running program to an upgrade, as the old process or as the new one."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

from anyio.abc import TaskGroup

from lupinmill import terms as t
from lupinmill.admin.operator_overrides import Mode
from lupinmill.discovery.confirmation import ListState
from lupinmill.handover import handover_state, sender_clock
from lupinmill.protocol import lists
from lupinmill.state import learned
from lupinmill.transport.clocks import ClockReading
from lupinmill.transport.listener import Listener

if TYPE_CHECKING:
    from lupinmill.program.sidecar import Program
    from lupinmill.routing.client_handler import ClientHandler

Table = dict[str, Any]


class Upgrade:
    """The callbacks of `Handover`. `predecessor_retries`: as in `HandoverState`."""

    def __init__(
        self, program: Program, listener: Listener, client_handler: ClientHandler, group: TaskGroup
    ) -> None:
        self.program, self.listener, self.client_handler = program, listener, client_handler
        self.group = group
        self.handover, self.descriptors = program.handover, program.descriptors
        self.directory, self.watcher = program.directory, program.discovery.watcher
        self.request_table, self.engine = program.request_table, program.engine
        self.predecessor_retries = program.predecessor_retries

    def connect(self) -> None:
        """From now on the predecessor yields to this process, and a successor can find it."""
        handover = self.handover
        handover.collect_state = self.collect_state
        handover.collect_open_work = self.collect_open_work
        handover.client_listener = lambda: self.listener.sock
        handover.on_yield, handover.on_resume = self.pause_serving, self.resume_serving
        handover.adopt_client = self.adopt_client
        handover.on_predecessor_work = self.update_predecessor_work
        handover.newer_list, handover.on_list = self.newer_list, self.take_list
        discovery = self.program.discovery
        handover.list_inherited = lambda: discovery.list_state is ListState.INHERITED
        handover.on_predecessor_ended = discovery.predecessor_ended
        discovery.on_confirmed = handover.report_list_confirmed
        handover.id_claims.take = self.request_table.take_id
        handover.id_claims.learn = self.request_table.learn_used_id
        self.request_table.on_unrepeatable_attempt = handover.id_claims.share
        self.client_handler.id_claims = handover.id_claims
        # The other process knows the endpoint, though this one's list may be older.
        admin_handler = self.program.admin_handler
        handover.apply_call = lambda call: admin_handler.apply(call, True)
        admin_handler.forward = handover.forward_call
        handover.start(self.group)

    # As the old process.

    def collect_state(self) -> Table:
        clock = ClockReading.take()
        state = handover_state.encode(
            self.encoded_list(clock),
            self.program.overrides,
            learned.learned(self.engine.sidecar, clock.unix_ahead),
            self.open_descriptors(),
            clock,
        )
        return state | {
            "repeats": self.request_table.repeats,
            "memory": self.program.memory.private_claim(),
            "used_ids": self.request_table.all_used_ids(),
            "claims": True,
            "report_serial": self.report_serial(),
            "list_state": self.program.discovery.list_state.value,
        }

    def report_serial(self) -> int:
        """Of the last report on zones that this process has sent; 0 if it sends none."""
        fleet_state = self.program.fleet_state
        if fleet_state is None or fleet_state.zone_driver is None:
            return 0
        return fleet_state.zone_driver.core.serial

    def collect_open_work(self) -> Table:
        return {
            "held": self.open_descriptors(),
            "flying": self.request_table.in_flight_by_endpoint(),
            "ids": list(self.request_table.pending_requests),
            "repeats": self.request_table.repeats,
            "memory": self.program.memory.private_claim(),
        }

    def open_descriptors(self) -> int:
        return sum(self.descriptors.open.values())

    def encoded_list(self, clock: ClockReading) -> Table:
        directory = self.directory
        listed = handover_state.ListedEndpoints(
            self.engine.sidecar.registry.listed,
            directory.addresses,
            directory.index,
            directory.start_times.listed_start,
        )
        return handover_state.encode_list(listed, clock.unix_ahead)

    def newer_list(self, index: int) -> Table | None:
        if self.directory.index in (None, index) or not self.watcher.list_is_current():
            return None
        clock = ClockReading.take()
        return {
            "address": self.watcher.address,
            "list": self.encoded_list(clock),
            sender_clock.CLOCK: sender_clock.encode_reading(clock),
        }

    def pause_serving(self) -> None:
        program, listener = self.program, self.listener
        listener.pause()
        listener.handing_over = True
        program.close_requested.set()
        self.client_handler.hand_over_client = lambda client: self.handover.send_client(client.sock)
        program.connection_pool.close()
        listener.close_all_idle()
        program.memory.yield_to_successor()
        if program.peers is not None:
            program.peers.resign()
        if program.live_config is not None:
            program.live_config.watch.saving_enabled = False

    def resume_serving(self) -> None:
        program = self.program
        self.client_handler.hand_over_client, self.listener.handing_over = None, False
        self.listener.resume()
        if program.peers is not None and program.overrides.mode is not Mode.LEAVING:
            program.peers.resume()
        if program.live_config is not None:
            program.live_config.watch.saving_enabled = True

    # As the new process.

    def take_list(self, message: Table) -> None:
        """Versions are comparable only where both processes ask the same discovery service."""
        known, before = lists.parse(message["list"]), self.directory.index
        if message["address"] != self.watcher.address or not self.watcher.list_is_current():
            return
        if before is not None and known.index > before:
            self.program.log("handover", text=f"list {known.index} of the process before this one")
            received = ClockReading.take()
            ahead = sender_clock.unix_ahead_of(message, (), received)
            starts = handover_state.decode_starts(message["list"], ahead, received.monotonic)
            self.directory.start_times.adopt(starts, known.entries)
            self.directory.update(known, t.ListKind.FULL)
            self.program.discovery.predecessor_sent_list()

    def adopt_client(self, sock: socket.socket) -> None:
        self.descriptors.held_by_predecessor = max(0, self.descriptors.held_by_predecessor - 1)
        try:
            self.listener.adopt(sock, self.group, self.client_handler.serve)
        except OSError:
            pass  # this connection is broken; the link must stay open for the others

    def update_predecessor_work(self, message: Table) -> None:
        """Takes over the count of the predecessor's open work; zero once it has ended."""
        retries = int(message.get("repeats", self.predecessor_retries))
        self.descriptors.held_by_predecessor = int(message.get("held", 0))
        self.program.memory.count_predecessor(int(message.get("memory", 0)))
        self.request_table.open_in_predecessor = {str(name) for name in message.get("ids", ())}
        in_flight = {str(name): int(count) for name, count in dict(message.get("flying", {})).items()}
        new_retries = max(0, retries - self.predecessor_retries)
        self.engine.handle_event(t.PredecessorLoad(in_flight, new_retries))
        self.predecessor_retries = retries
