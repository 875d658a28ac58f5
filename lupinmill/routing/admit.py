"""Admit: a request that came whole becomes a submission, or gets the answer that says why not."""

from __future__ import annotations

from lupinmill.admin.operator_overrides import OperatorOverrides
from lupinmill.protocol import client_requests
from lupinmill.protocol.http import Answer, Malformed, Request, plain
from lupinmill.routing.body import Body
from lupinmill.routing.book import Book, Journey
from lupinmill.routing.directory import Directory
from lupinmill.transport.client import Client


MOST_GONE = 1_000  # names of workloads that were taken away; the oldest is forgotten, and unknown again


class Admit:
    def __init__(
        self, book: Book, directory: Directory, workloads: set[str], overrides: OperatorOverrides
    ) -> None:
        self.book, self.directory, self.workloads, self.overrides = book, directory, workloads, overrides
        self.gone: dict[str, None] = {}  # taken away while this process ran, the last one last
        self.known = workloads  # with those that are gone
        self.advice = 0  # microseconds after which those may come back that the module never hears of

    def deploy(self, workloads: set[str], advice: int) -> None:
        """Of a workload that was taken away what comes from now on is denied: it was launched nowhere, and
        the workload may come back."""
        self.gone |= dict.fromkeys(sorted(self.workloads - workloads))
        self.gone = {name: None for name in self.gone if name not in workloads}
        for name in list(self.gone)[:-MOST_GONE]:
            del self.gone[name]
        self.workloads, self.known, self.advice = workloads, workloads | self.gone.keys(), advice

    def request(
        self, request: Request, client: Client, body: Body | None = None, to_come: float = 0.0
    ) -> Journey | Answer:
        """`to_come`: seconds that the rest of a body may take which isn't whole yet."""
        if (told := self.readiness(request)) is not None:
            return told
        try:
            asked = client_requests.parse(request, self.known)
            if self.book.is_open(asked.request_id):
                # Under one name the module would take both for one, and one client would get no answer.
                raise Malformed(400, "this Req-Id is still open", True)
        except Malformed as error:
            return plain(error.status, f"{error}\n")
        if asked.workload in self.gone:
            return client_requests.rejection(self.advice)
        comes = body is not None and not body.whole
        waited = client.waited_for(asked.time_left, comes)
        if comes and waited >= asked.time_left:
            return client_requests.rejection(self.advice)  # all its client's time may be over already
        # While it comes its client may be writing still, which goes on to nobody's harm.
        due = (
            self.due(asked.time_left, 0, int(to_come * 1_000_000))
            if comes
            else self.due(asked.time_left, waited)
        )
        journey = Journey(asked, request, due, client, self.book.engine.clock.now() - waited, body=body)
        try:
            self.book.begin(journey)
        except Exception:
            self.book.withdraw(journey)  # or it would be open for good, and so would the program
            raise
        return journey

    def readiness(self, request: Request) -> Answer | None:
        """None where it asks for something else."""
        if request.target.split(b"?", 1)[0] != client_requests.READY or request.method not in (
            b"GET",
            b"HEAD",
        ):
            return None
        return plain(200, "ready\n") if self.ready() else plain(503, "not ready\n")

    def due(self, left: int, waited: int, to_come: int = 0) -> int:
        """The hard limit of what came whole so long ago, or may take so long to come."""
        engine = self.book.engine
        # Guards against answers after the hard limit while the loop lags: they come out as late as wake-ups
        # do, once from the module and once to the client.
        left -= min(2 * engine.late, left // 3)
        now = engine.clock.now()
        due = now - waited + left + to_come
        if (latest := self.overrides.latest_hard_limit(now)) is not None:
            due = min(due, latest)  # nothing may be open when the program is killed, or the drain is over
        return due

    def over(self) -> bool:
        """Nothing may be open any more."""
        ends = self.overrides.drain_deadline
        return ends is not None and self.book.engine.clock.now() >= ends

    def ready(self) -> bool:
        return self.overrides.is_ready() and not self.directory.empty()
