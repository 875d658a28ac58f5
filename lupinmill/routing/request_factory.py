"""Turns a complete HTTP request into a pending request, or into the response that says why it was not
accepted."""

from __future__ import annotations

from lupinmill.admin.operator_overrides import OperatorOverrides
from lupinmill.protocol import client_requests
from lupinmill.protocol.http import Answer, Malformed, Request, plain
from lupinmill.routing.directory import EndpointDirectory
from lupinmill.routing.request_body import RequestBody
from lupinmill.routing.request_table import PendingRequest, RequestTable
from lupinmill.transport.buffers import MemoryLease, unlimited_lease
from lupinmill.transport.client import Client

MAX_REMOVED_WORKLOADS = 1_000  # removed workloads that are remembered; older ones count as unknown


# A request that comes before discovery has confirmed the list waits for it: in seconds, which cover a prompt
# answer and one repeated call, and as a fraction of its client's time, which must suffice for the attempt.
MAX_LIST_WAIT_S, MAX_LIST_WAIT_FRACTION = 0.25, 0.25


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
        self.removed_workloads: dict[str, None] = {}  # removed while this process runs, most recent last
        self.known_workloads = workloads  # including removed ones
        # microseconds to advise in Retry-After for requests that never reach the decision module
        self.retry_after = 0

    def deploy(self, workloads: set[str], retry_after: int) -> None:
        """Sets the known workloads. Requests for a removed workload are rejected: they were sent nowhere, and
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
        self,
        request: Request,
        client: Client,
        body: RequestBody | None = None,
        to_come: float = 0.0,
        memory: MemoryLease | None = None,
    ) -> PendingRequest | Answer:
        """Opens a pending request. `to_come`: seconds that the rest of an incomplete body may take; `memory`:
        what is leased for the request."""
        if (answer := self.readiness(request)) is not None:
            return answer
        try:
            metadata = client_requests.parse(request, self.known_workloads)
            if self.request_table.is_open(metadata.request_id):
                # The decision module would take both for the same request, and one client would get no
                # response.
                raise Malformed(400, "this Req-Id is still open", True)
            if self.request_table.is_used(metadata):
                raise self.used_id(metadata.request_id)
        except Malformed as error:
            return plain(error.status, f"{error}\n")
        if metadata.workload in self.removed_workloads:
            return client_requests.rejection(self.retry_after)
        if not self.directory.usable:
            return client_requests.rejection(self.retry_after)
        incomplete = body is not None and not body.complete
        waited = client.max_elapsed_wait(metadata.time_left, incomplete)
        if incomplete and waited >= metadata.time_left:
            return client_requests.rejection(self.retry_after)  # the client's whole deadline may have passed
        # The client may still be writing while the body arrives, and waits for no response yet.
        due = (
            self.due(metadata.time_left, 0, int(to_come * 1_000_000))
            if incomplete
            else self.due(metadata.time_left, waited)
        )
        received_at = self.request_table.engine.clock.now() - waited
        pending = PendingRequest(
            metadata, request, due, client, received_at, body=body, memory=memory or unlimited_lease()
        )
        try:
            self.request_table.add(pending)
        except Exception:
            # an entry left in the table would keep the program from ending
            self.request_table.withdraw(pending)
            raise
        return pending

    async def wait_for_list(self, request: Request) -> None:
        """Waits until attempts may go by the list, but not for long: `create` then rejects the request."""
        if self.directory.usable:
            return
        time_left = client_requests.time_left_of(request)
        if time_left is not None:
            limit = time_left / 1_000_000 * MAX_LIST_WAIT_FRACTION
            await self.directory.wait_usable(min(MAX_LIST_WAIT_S, limit))

    def used_id(self, request_id: str) -> Malformed:
        """The refusal of a request whose id may have run before, and may not run again."""
        self.request_table.sampled_log("id_repeated", submission=request_id)
        return Malformed(400, "this Req-Id was used before", True)

    def unrepeatable_id(self, request: Request) -> str | None:
        """The id of a request that must not run twice; None of any other, and of one that is malformed."""
        try:
            metadata = client_requests.parse(request, self.known_workloads)
        except Malformed:
            return None
        return None if self.request_table.may_run_again(metadata.workload) else metadata.request_id

    def readiness(self, request: Request) -> Answer | None:
        """Returns None if the request is not a readiness check."""
        if request.target.split(b"?", 1)[0] != client_requests.READY or request.method not in (
            b"GET",
            b"HEAD",
        ):
            return None
        return plain(200, "ready\n") if self.is_ready() else plain(503, "not ready\n")

    def due(self, left: int, waited: int, to_come: int = 0) -> int:
        """Returns the hard limit of a request that was complete `waited` microseconds ago, or may take
        `to_come` to complete."""
        engine = self.request_table.engine
        # Guards against responses after the hard limit while the event loop lags: they are late by the lag
        # twice, once from the decision module and once on the way to the client.
        left -= min(2 * engine.lateness, left // 3)
        now = engine.clock.now()
        due = now - waited + left + to_come
        if (latest := self.overrides.latest_hard_limit(now)) is not None:
            due = min(due, latest)  # nothing may be open when the process is killed or the drain ends
        return due

    def past_drain_deadline(self) -> bool:
        """Whether the drain deadline has passed, after which no request may be open."""
        ends = self.overrides.drain_deadline
        return ends is not None and self.request_table.engine.clock.now() >= ends

    def is_ready(self) -> bool:
        listed = self.directory.usable and not self.directory.has_no_ready_endpoint()
        return listed and self.overrides.is_ready()
