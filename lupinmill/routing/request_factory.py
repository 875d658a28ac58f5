"""Admit: a request that came whole becomes a submission, or gets the answer that says why not."""

from __future__ import annotations

from lupinmill.admin.operator_overrides import OperatorOverrides
from lupinmill.protocol import submission
from lupinmill.protocol.http import Answer, Malformed, Request, plain
from lupinmill.routing.request_body import RequestBody
from lupinmill.routing.request_table import RequestTable, PendingRequest
from lupinmill.routing.directory import EndpointDirectory
from lupinmill.transport.client import Client


MAX_REMOVED_WORKLOADS = (
    1_000  # names of workloads that were taken away; the oldest is forgotten, and unknown again
)


class RequestFactory:
    def __init__(
        self,
        request_table: RequestTable,
        directory: EndpointDirectory,
        workloads: set[str],
        overrides: OperatorOverrides,
    ) -> None:
        self.request_table, self.directory, self.workloads, self.overrides = (
            request_table,
            directory,
            workloads,
            overrides,
        )
        self.removed_workloads: dict[str, None] = {}  # taken away while this process ran, the last one last
        self.known_workloads = workloads  # with those that are gone
        self.retry_after = 0  # microseconds after which those may come back that the module never hears of

    def deploy(self, workloads: set[str], retry_after: int) -> None:
        """Of a workload that was taken away what comes from now on is denied: it was launched nowhere, and
        the workload may come back."""
        self.removed_workloads |= dict.fromkeys(sorted(self.workloads - workloads))
        self.removed_workloads = {name: None for name in self.removed_workloads if name not in workloads}
        for name in list(self.removed_workloads)[:-MAX_REMOVED_WORKLOADS]:
            del self.removed_workloads[name]
        self.workloads, self.known_workloads, self.retry_after = (
            workloads,
            workloads | self.removed_workloads.keys(),
            retry_after,
        )

    def create(
        self, request: Request, client: Client, body: RequestBody | None = None, to_come: float = 0.0
    ) -> PendingRequest | Answer:
        """`to_come`: seconds that the rest of a body may take which isn't whole yet."""
        if (answer := self.readiness(request)) is not None:
            return answer
        try:
            metadata = submission.read(request, self.known_workloads)
            if self.request_table.is_open(metadata.submission):
                # Under one name the module would take both for one, and one client would get no answer.
                raise Malformed(400, "this Req-Id is still open", True)
        except Malformed as error:
            return plain(error.status, f"{error}\n")
        if metadata.workload in self.removed_workloads:
            return submission.denied(self.retry_after)
        incomplete = body is not None and not body.complete
        waited = client.max_elapsed_wait(metadata.left, incomplete)
        if incomplete and waited >= metadata.left:
            return submission.denied(self.retry_after)  # all its client's time may be over already
        # While it comes its client may be writing still, which goes on to nobody's harm.
        due = (
            self.due(metadata.left, 0, int(to_come * 1_000_000))
            if incomplete
            else self.due(metadata.left, waited)
        )
        pending = PendingRequest(
            metadata, request, due, client, self.request_table.engine.clock.now() - waited, body=body
        )
        try:
            self.request_table.add(pending)
        except Exception:
            self.request_table.withdraw(pending)  # or it would be open for good, and so would the program
            raise
        return pending

    def readiness(self, request: Request) -> Answer | None:
        """None where it asks for something else."""
        if request.target.split(b"?", 1)[0] != submission.READY or request.method not in (b"GET", b"HEAD"):
            return None
        return plain(200, "ready\n") if self.is_ready() else plain(503, "not ready\n")

    def due(self, left: int, waited: int, to_come: int = 0) -> int:
        """The hard limit of what came whole so long ago, or may take so long to come."""
        engine = self.request_table.engine
        # Guards against answers after the hard limit while the loop lags: they come out as late as wake-ups
        # do, once from the module and once to the client.
        left -= min(2 * engine.lateness, left // 3)
        now = engine.clock.now()
        due = now - waited + left + to_come
        if (latest := self.overrides.latest_hard_limit(now)) is not None:
            due = min(due, latest)  # nothing may be open when the program is killed, or the drain is over
        return due

    def past_drain_deadline(self) -> bool:
        """Nothing may be open any more."""
        ends = self.overrides.drain_deadline
        return ends is not None and self.request_table.engine.clock.now() >= ends

    def is_ready(self) -> bool:
        return self.overrides.is_ready() and not self.directory.has_no_ready_endpoint()
