"""The end of the running program: clients are served until little time is left before it may be killed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lupinmill.protocol.client_requests import MAX_DEADLINE_S
from lupinmill.transport.descriptors import ConnectionKind
from lupinmill.transport.listener import Listener

if TYPE_CHECKING:
    from lupinmill.program.sidecar import Program
    from lupinmill.routing.client_handler import ClientHandler

LATE_CONNECTIONS_S = 0.6  # after SIGTERM clients still open connections for so long
# The platform kills the process so many seconds after the longest hard limit, of which at most 3 s count.
KILL_DELAY_S, MAX_HARD_LIMIT_S = 0.7, 3.0
# Reserved before that: microseconds for the last answers, and seconds for late work.
CLOSING_TIME_US, SHUTDOWN_MARGIN_S = 500_000, 0.2
OPEN_REQUEST_GRACE_S = 1.0  # after the longest possible deadline, shutdown stops waiting for open requests
CHECK_INTERVAL_S = 0.02  # between two looks at what is still open


class Shutdown:
    """Shuts a program down. Clients keep using their connections, and may have no other sidecar: they are
    served until little time is left, and only then are their connections closed."""

    def __init__(self, program: Program, listener: Listener, client_handler: ClientHandler) -> None:
        self.program, self.listener, self.client_handler = program, listener, client_handler
        workloads = program.settings.deployment.workloads
        longest_s = max(workload.hard_limit for workload in workloads) / 1_000_000
        self.serving_s = min(longest_s, MAX_HARD_LIMIT_S) + KILL_DELAY_S - SHUTDOWN_MARGIN_S
        self.deadline_s = max(self.serving_s, MAX_DEADLINE_S + OPEN_REQUEST_GRACE_S)

    async def run(self) -> None:
        """Returns when the process may end."""
        program = self.program
        now = program.engine.clock.now()
        end = now + int(self.serving_s * 1_000_000)
        program.overrides.begin_shutdown(now, end - CLOSING_TIME_US, end)
        program.mode_changed()
        began = anyio.current_time()
        while not self.is_over(waited_s := anyio.current_time() - began):
            if waited_s >= self.serving_s:
                self.client_handler.response_writer.break_off_close_delimited()
            await anyio.sleep(CHECK_INTERVAL_S)
        with anyio.move_on_after(SHUTDOWN_MARGIN_S):
            await program.handover.flush()

    def is_over(self, waited_s: float) -> bool:
        """Whether the process may end, `waited_s` seconds after the signal."""
        if waited_s >= self.serving_s and not self.has_open_requests():
            return True
        if not self.has_clients() and not self.is_needed(waited_s):
            return True
        if waited_s < self.deadline_s:
            return False
        # A defect has left a request open: without this, the process would never end.
        left_open = len(self.program.request_table.pending_requests)
        self.program.log("task_failed", task="leave", error=f"{left_open} requests left open")
        return True

    def has_open_requests(self) -> bool:
        """Answers being written count too: a request is settled some passes before its client has the
        answer."""
        return bool(self.program.request_table.pending_requests or self.client_handler.answering)

    def has_clients(self) -> bool:
        """Includes accepted connections whose tasks have not started yet."""
        open_clients = self.program.descriptors.open[ConnectionKind.CLIENT]
        return bool(open_clients + self.listener.turning_away)

    def is_needed(self, waited_s: float) -> bool:
        """Whether this process is needed without clients: new ones may come, or its successor relies on its
        watch on the list."""
        handover = self.program.handover
        if not handover.protocol.accepts_clients():
            return handover.successor_needs_list
        return waited_s < LATE_CONNECTIONS_S
