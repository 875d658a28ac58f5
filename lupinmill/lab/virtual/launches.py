"""Carries out a virtual sidecar's orders to launch, call off and probe: over the network, to the endpoint's
model and back."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual.connections import Connections
from lupinmill.lab.virtual.held import Flight, Held
from lupinmill.lab.world import job_for

if TYPE_CHECKING:
    from lupinmill.lab.virtual.seat import Seat

KEEPS_CONNECTION = (t.How.HANDLED, t.How.ERROR, t.How.REFUSED)  # after these it can carry another request
NO_CONNECTION = (t.How.UNCONNECTED, t.How.UNSENT)  # after these there is none


class Launches:
    """Everything of one sidecar that is on its way to an endpoint."""

    def __init__(self, seat: Seat) -> None:
        self.seat, self.run = seat, seat.run
        self.world, self.timeline = seat.run.world, seat.run.timeline
        self.connections = Connections(self.timeline)

    def close(self, held: Held) -> None:
        """Its sidecar was killed: what it had sent breaks off."""
        for flight in held.flights:
            if not flight.over:
                self.end_flight(flight)

    # Launching.

    def launch(self, order: t.Launch) -> None:
        """Sends a submission to an endpoint."""
        seat, now = self.seat, self.timeline.now
        held = seat.held.get(order.submission)
        endpoint = self.world.by_endpoint.get(order.endpoint)
        if held is None or endpoint is None or held.told:
            text = f"a launch of what is not open, to {order.endpoint}"
            self.world.referee.breaks(1, order.submission, text)
            return
        second = self.run.measure.at(now)
        second.launches += 1
        second.crossed += seat.zone != endpoint.shape.zone
        flight = Flight(len(held.flights), endpoint, endpoint.epoch, now)
        held.flights.append(flight)
        if held.closed:  # it ended in the very batch that the module is answering
            return self.outcome(held, flight, t.How.UNSENT, None)
        flight.record = self.world.referee.sent(now, held.name, endpoint, seat.name)
        until = min(order.until or held.due, held.due)
        flight.deadline = self.timeline.at(until, self.outcome, held, flight, t.How.TIMED_OUT, None)
        self.send(held, flight)

    def send(self, held: Held, flight: Flight) -> None:
        """On an idle connection, or on a new one."""
        endpoint, timeline = flight.endpoint, self.timeline
        way = self.world.network.delay(self.seat.zone, endpoint.shape.zone)
        if self.connections.reuse(endpoint):
            timeline.after(way, self.arrive, held, flight, self.seat.life)
            return
        cut = self.cut_from(endpoint)
        if endpoint.silent or not endpoint.alive or cut:
            span = endpoint.shape.connect_limit_s * SECOND if endpoint.silent or cut else 2 * way
            timeline.after(span, self.outcome, held, flight, t.How.UNCONNECTED, None)
            return
        if not endpoint.connect():
            timeline.after(2 * way, self.outcome, held, flight, t.How.UNCONNECTED, None)
            return
        flight.fresh = True
        span = (1 + 2 * endpoint.shape.round_trips) * way
        timeline.after(span, self.arrive, held, flight, self.seat.life)

    def cut_from(self, endpoint: Endpoint) -> bool:
        """Whether one of the two ways to and from it is cut."""
        network, here, there = self.world.network, self.seat.zone, endpoint.shape.zone
        return network.blocked(here, there) or network.blocked(there, here)

    def arrive(self, held: Held, flight: Flight, life: int) -> None:
        """At the endpoint, unless it was called off on the way or the endpoint has died meanwhile."""
        endpoint, seat, network = flight.endpoint, self.seat, self.world.network
        if flight.over or life != seat.life or network.blocked(seat.zone, endpoint.shape.zone):
            return  # what is lost behind a cut is a time-out
        if flight.epoch != endpoint.epoch or not endpoint.alive:
            if not endpoint.silent:
                self.timeline.after(network.delay(), self.outcome, held, flight, t.How.RESET, None)
            return
        calls, reply = self.run.inner.calls_of(seat.tier), partial(self.reply, held, flight, life)
        job = flight.job = job_for(
            self.world, held.name, held.key, held.workload, held.work, seat.tier, held.due, calls, reply
        )
        endpoint.receive(job, seat.directory.informed(endpoint))

    def reply(self, held: Held, flight: Flight, life: int, how: t.How, load: t.Load | None) -> None:
        """The endpoint's answer, on its way back."""
        network, here, there = self.world.network, self.seat.zone, flight.endpoint.shape.zone
        if life == self.seat.life and not network.blocked(there, here):
            self.timeline.after(network.delay(here, there), self.outcome, held, flight, how, load)

    # Ending.

    def outcome(self, held: Held, flight: Flight, how: t.How, load: t.Load | None) -> None:
        """A launch has ended, for its sidecar; later outcomes of the same launch are nothing."""
        seat = self.seat
        if flight.over or not seat.alive:
            return
        self.end_flight(flight, how)
        if how is t.How.HANDLED and not held.closed:
            seat.close(held)
            held.answer("handled", 0)
        took = self.timeline.now - flight.sent
        seat.tell(t.Ended(held.name, flight.number, how, took, held.closed, load))
        seat.tidy(held)

    def end_flight(self, flight: Flight, how: t.How = t.How.RESET) -> None:
        """The one place where a launch's connection and record are given back."""
        flight.over = True
        if flight.deadline is not None:
            flight.deadline.cancel()
        if flight.record is not None:
            flight.record.out = False
        if how in KEEPS_CONNECTION:
            self.connections.keep(flight.endpoint, flight.epoch)
        elif how not in NO_CONNECTION:
            flight.endpoint.disconnect(flight.epoch)
            if flight.job is not None and flight.job.state != "over":
                self.timeline.after(self.world.network.one_way, self.cancel_there, flight)

    def cancel_there(self, flight: Flight) -> None:
        """The endpoint hears that nobody waits for it any more."""
        if flight.epoch == flight.endpoint.epoch and flight.job is not None:
            flight.endpoint.cancel(flight.job)

    def call_off(self, order: t.CallOff) -> None:
        """The module wants one launch no more."""
        held = self.seat.held.get(order.submission)
        if held is not None and order.launch < len(held.flights):
            flight = held.flights[order.launch]
            sent_whole = flight.job is not None or not flight.fresh
            self.outcome(held, flight, t.How.CALLED_OFF if sent_whole else t.How.UNSENT, None)

    # Probes.

    def probe(self, order: t.Probe) -> None:
        """Asks an endpoint how it is."""
        endpoint = self.world.by_endpoint[order.endpoint]
        self.run.measure.at(self.timeline.now).probes += 1
        way, sent = self.world.network.delay(self.seat.zone, endpoint.shape.zone), self.timeline.now
        self.timeline.after(way, self.answer_probe, endpoint, way, sent, self.seat.life)

    def answer_probe(self, endpoint: Endpoint, way: float, sent: int, life: int) -> None:
        """The endpoint's answer, on its way back; where there is none, the time-out."""
        cut = self.cut_from(endpoint)
        got = endpoint.probe() if not cut else None
        how, load = got or (t.How.UNCONNECTED, None)
        waits = got is None and (endpoint.silent or endpoint.paused or cut)
        span = endpoint.shape.connect_limit_s * SECOND if waits else way
        self.timeline.after(span, self.probed, endpoint, sent, how, load, life)

    def probed(self, endpoint: Endpoint, sent: int, how: t.How, load: t.Load | None, life: int) -> None:
        """What came of a probe, for the module."""
        if life == self.seat.life and self.seat.alive:
            self.seat.tell(t.Probed(endpoint.shape.name, how, self.timeline.now - sent, load))
