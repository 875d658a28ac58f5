"""Route: the module's orders become launches, call-offs, probes and final answers."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from lupinmill import terms as t
from lupinmill.protocol import client_requests
from lupinmill.routing.book import LEAST, Book, Launch
from lupinmill.routing.deadline import Deadline
from lupinmill.routing.engine import Engine
from lupinmill.routing.send import Send


class Route:
    def __init__(self, engine: Engine, book: Book, send: Send, group: TaskGroup) -> None:
        self.engine, self.log = engine, engine.log
        self.clock, self.book, self.send, self.group = engine.clock, book, send, group
        engine.carriers |= {
            t.StartAttempt: self.launch,
            t.CancelAttempt: self.call_off,
            t.RejectRequest: self.deny,
            t.AbortResponse: self.break_off,
            t.StartProbe: self.probe,
        }

    def launch(self, command: t.StartAttempt) -> None:
        journey = self.book.journeys.get(command.request)
        if journey is None:
            return self.unknown(command)
        now = self.clock.now()
        deadline = Deadline(anyio.current_time() + (command.until - now) / 1_000_000)
        launch = Launch(command.endpoint, len(journey.launches), now, deadline)
        self.book.unlaunched -= not journey.launches
        self.book.repeats += bool(journey.launches)
        journey.launches.append(launch)
        try:
            self.group.start_soon(self.send.launch, journey, launch)
        except BaseException:
            self.book.ended(journey, launch, t.Outcome.UNSENT, None, None)
            raise

    def unknown(self, command: t.StartAttempt) -> None:
        """A submission that is over here, which the module still has open: only after a failure of its own.
        Nothing is sent; told so, it frees the places that it counts at endpoints and forgets the submission.
        None of its launches can be out, or it would be known."""
        self.log("order_failed", order="Launch", error=f"{command.request} is not open")
        for number in range(self.engine.sidecar.dispatcher.settings.max_attempts):
            self.engine.tell(t.AttemptEnded(command.request, number, t.Outcome.UNSENT, LEAST, True))

    def call_off(self, command: t.CancelAttempt) -> None:
        """Giving up closes the connection: the scope's end does."""
        journey = self.book.journeys.get(command.request)
        if journey is not None:
            launch = journey.launches[command.attempt]
            launch.called_off = True
            launch.deadline.scope.cancel()

    def deny(self, command: t.RejectRequest) -> None:
        if journey := self.book.journeys.get(command.request):
            self.book.settle(journey, client_requests.rejection(command.retry_after))

    def break_off(self, command: t.AbortResponse) -> None:
        if journey := self.book.journeys.get(command.request):
            self.book.settle(journey, client_requests.aborted_response())

    def probe(self, command: t.StartProbe) -> None:
        self.group.start_soon(self.send.probe, command.endpoint)
