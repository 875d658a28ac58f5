"""Book: every open submission, its launches and its one final answer."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from lupinmill import terms as t
from lupinmill.protocol.http import Answer, Request
from lupinmill.protocol.client_requests import ClientRequest, aborted_response
from lupinmill.routing.body import Body
from lupinmill.routing.deadline import Deadline
from lupinmill.routing.engine import Engine
from lupinmill.routing.stream import Stream
from lupinmill.transport.client import Client


LEAST = 5_000  # microseconds: below it answers differ by what this loop and the kernel do, not endpoints


@dataclass(slots=True)
class Launch:
    endpoint: str
    number: int
    at: int
    deadline: Deadline
    written: bool = False  # its last byte has left: from here on it may have run
    sent: int = 0  # when that was
    called_off: bool = False
    waited: int = 0  # microseconds that its answer lay unread
    told: bool = False  # the module knows its end: a large answer had begun
    out: bool = True


@dataclass(slots=True)
class Journey:
    """One submission from its taking in until its last launch has ended."""

    asked: ClientRequest
    request: Request
    due: int
    client: Client
    came: int  # its last byte, as far as the kernel tells
    begin_by: int | None = None  # no attempt begins later; None while the body comes, or where `due` says it
    settled: bool = False
    answer: Answer | None = None  # stays None where the client has gone away
    waiting: anyio.CancelScope | None = None  # its client's task, until it is settled
    launches: list[Launch] = field(default_factory=list)
    body: Body | None = None  # over 64 KiB: what is kept of it, or still comes
    stream: Stream | None = None  # of the answer, where that is large: its client's task takes it


class Book:
    """Owns the open journeys. `close` is the one place where they are given back."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.journeys: dict[str, Journey] = {}
        self.repeats = 0  # launches beyond a submission's first, so far
        self.elsewhere: set[str] = set()  # ids open in an older process of this sidecar
        self.unlaunched = 0  # of them, those that the module has launched nowhere yet
        engine.failed.append(self.after_failure)

    def begin(self, journey: Journey) -> None:
        asked = journey.asked
        self.journeys[asked.request_id] = journey
        self.unlaunched += 1
        whole = journey.body is None or journey.body.whole
        name, again = asked.request_id, asked.is_retry
        self.engine.tell(
            t.RequestArrived(
                name,
                asked.workload,
                journey.due,
                asked.tenant,
                again,
                whole,
                asked.key,
                asked.has_idempotency_key,
            )
        )

    def whole(self, journey: Journey, due: int, begin_by: int) -> None:
        """Its last byte has come; the hard limit is known from here on."""
        journey.due, journey.begin_by = due, begin_by
        now, clock = self.engine.clock.now(), anyio.current_time()
        for launch in journey.launches:
            if launch.out:
                launch.deadline.move(clock + (due - now) / 1_000_000)
        self.engine.tell(t.RequestBodyReceived(journey.asked.request_id, due))

    def begin_stream(
        self, journey: Journey, launch: Launch, answer: Answer, stream: Stream, load: t.LoadReport | None
    ) -> None:
        """A large answer passes on as it comes: nothing of ours ends it any more."""
        launch.deadline.move(math.inf)
        journey.stream = stream
        self.settle(journey, answer)
        # To the module it is over: the endpoint has done its work, what it still writes takes none of its
        # places.
        self.tell_ended(journey, launch, t.Outcome.HANDLED, load)
        launch.told = True

    def is_open(self, name: str) -> bool:
        return name in self.journeys or name in self.elsewhere

    def out(self) -> dict[str, int]:
        """Launches that are out and written, by endpoint."""
        found: dict[str, int] = {}
        for journey in self.journeys.values():
            for launch in journey.launches:
                if launch.out and launch.written and not launch.told:
                    found[launch.endpoint] = found.get(launch.endpoint, 0) + 1
        return found

    def settle(self, journey: Journey, answer: Answer | None) -> bool:
        """The first final answer stands; what comes later is dropped."""
        if journey.settled:
            return False
        journey.answer, journey.settled = answer, True
        if journey.waiting is not None:
            journey.waiting.cancel()
        if journey.body is not None and not journey.body.whole:
            journey.body.drop()  # no more of it is read: a launch would wait for the rest, and can't run
        self.close(journey)
        return True

    def withdraw(self, journey: Journey) -> None:
        """Its client has gone away, or its answer came from no decision."""
        if self.settle(journey, None):
            self.engine.tell(t.RequestCancelled(journey.asked.request_id))

    def after_failure(self, event: Any) -> None:
        """The module failed on this note, and may never decide about its submission: where no launch is out
        that may still bring an answer, it gets its final one now."""
        about = getattr(event, "request", "")  # its name; in the module's own notes what it knows of it
        journey = self.journeys.get(getattr(about, "name", about))
        if journey is not None and not any(launch.out for launch in journey.launches):
            self.answer_for_module(journey)
        if isinstance(event, t.AttemptEnded) and event.outcome is not t.Outcome.CALLED_OFF:
            # Once more, as what tells nothing of the endpoint: or its place there would be taken for good.
            self.engine.tell(replace(event, outcome=t.Outcome.CALLED_OFF, load=None))

    def answer_for_module(self, journey: Journey) -> None:
        """A final answer that comes from no decision."""
        if self.settle(journey, aborted_response()):
            self.engine.log("backstop", submission=journey.asked.request_id)
            self.engine.tell(t.RequestCancelled(journey.asked.request_id))

    def ended(
        self,
        journey: Journey,
        launch: Launch,
        how: t.Outcome,
        answer: Answer | None,
        load: t.LoadReport | None,
    ) -> None:
        if not launch.out:
            return
        launch.out = False
        try:
            if answer is not None:
                self.settle(journey, answer)
            if not launch.told:
                launch.told = True
                self.tell_ended(journey, launch, how, load)
        finally:
            self.close(journey)

    def tell_ended(self, journey: Journey, launch: Launch, how: t.Outcome, load: t.LoadReport | None) -> None:
        # From its last byte on: until then it was this loop and the connection that took their time.
        began = launch.sent or launch.at
        name, took = journey.asked.request_id, self.engine.clock.now() - began - launch.waited
        took = max(took, LEAST)
        last = journey.body is not None and not (journey.body.anew() and self.left(journey) > 0)
        self.engine.tell(t.AttemptEnded(name, launch.number, how, took, journey.settled, load, last))

    def left(self, journey: Journey) -> int:
        """Microseconds that its client still waits, at the least: what an attempt that begins now is told."""
        now = self.engine.clock.now()
        left = journey.due - now
        if journey.begin_by is not None:
            left = min(left, journey.begin_by - now)
        elif journey.body is not None and not journey.body.whole:
            left = min(
                left, journey.asked.time_left - journey.client.waited_for(journey.asked.time_left, True)
            )
        return left

    def close(self, journey: Journey) -> None:
        if journey.settled and not any(launch.out for launch in journey.launches):
            if self.journeys.pop(journey.asked.request_id, None) is not None and not journey.launches:
                self.unlaunched -= 1
            if journey.body is not None:
                journey.body.drop()
