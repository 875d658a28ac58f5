"""Defects of the decision module that unusual events revealed, and its behaviour when a handler raises."""

import pytest
from bed import IDEM, Bed, deployment, listing

from lupinmill import terms as t
from lupinmill.rules import SECOND, Sidecar

MS = 1000


def test_an_endpoint_may_go_while_a_request_sent_there_is_still_coming():
    """Guards against dropping the endpoint's state while an attempt there is not counted yet: its outcome
    found no endpoint."""
    bed = Bed(deployment(workloads=[IDEM]), endpoints=1)
    bed.unanswered["u"] = t.RequestArrived("u", IDEM.name, bed.now + SECOND, whole=False)
    bed.attempts["u"] = []
    bed.step(bed.unanswered["u"])
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(0, t.EndpointStatus.GONE)]))
    bed.step(t.RequestBodyReceived("u", bed.now + SECOND))
    bed.run(200 * MS)
    bed.end("u", 0, t.Outcome.RESET)
    bed.run(2 * SECOND)
    assert bed.closed["u"] and not bed.sidecar.dispatcher.endpoint_states and not bed.sidecar.dispatcher.busy


def test_an_endpoint_that_came_back_under_its_name_gets_no_outcome_of_before():
    bed = Bed(deployment(workloads=[IDEM]), endpoints=1)
    bed.unanswered["u"] = t.RequestArrived("u", IDEM.name, bed.now + SECOND, whole=False)
    bed.attempts["u"] = []
    bed.step(bed.unanswered["u"])
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(0, t.EndpointStatus.GONE)]))
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(0)]))
    assert (
        bed.sidecar.dispatcher.requests["u"].attempts[0].endpoint_state
        is bed.sidecar.dispatcher.endpoint_states["e0"]
    )
    bed.end("u", 0, t.Outcome.HANDLED)
    assert bed.sidecar.registry.endpoints["e0"].in_flight == 0


def test_probes_alone_that_find_no_connection_do_not_divide_by_no_answers():
    bed = Bed(deployment(reports_asked=True), endpoints=1)
    for _ in range(4):
        bed.step(t.ProbeEnded("e0", t.Outcome.UNCONNECTED, MS))
    assert bed.sidecar.dispatcher.ready == 1  # the last one is not ejected


def test_a_first_answer_that_took_no_time_weighs_its_kind_by_the_least_pace():
    bed = Bed(deployment(uneven=True), endpoints=2)
    name = bed.arrive(IDEM)
    bed.end(name, 0, t.Outcome.HANDLED)
    assert all(pace > 0 for pace in bed.sidecar.dispatcher.pace_by_kind.values())
    bed.run(SECOND)
    assert bed.arrive(IDEM) in bed.attempts


@pytest.mark.parametrize("late", [1, SECOND])
def test_a_request_whose_time_is_over_is_answered_and_not_sent(late):
    bed = Bed(deployment(), endpoints=2)
    bed.unanswered["s"] = t.RequestArrived("s", IDEM.name, bed.now - late)
    bed.attempts["s"] = []
    bed.sidecar.step(bed.now, [])
    commands = bed.sidecar.step(bed.now, [bed.unanswered["s"]])
    assert [type(command) for command in commands if not isinstance(command, t.SetTimer)] == [t.RejectRequest]


def test_work_in_hand_is_answered_in_time_under_a_deployment_with_a_shorter_round():
    """Guards against a timer that was set with the earlier margin: it fired too early by the new one, and
    was not set again."""
    bed = Bed(deployment(round=5 * MS), endpoints=1)
    name = bed.arrive(IDEM)
    bed.step(t.DeploymentChanged(deployment(round=MS)))
    bed.run(IDEM.hard_limit + 10 * MS)
    assert bed.closed.get(name) == "denied"


@pytest.mark.parametrize("weight", [0.0, -1.0])
def test_a_weight_that_is_no_size_counts_as_one(weight):
    bed = Bed(deployment(uneven=True, few_connections=True, sidecar_per_client=True), endpoints=0)
    entries = [t.ListEntry(f"e{at}", t.EndpointStatus.READY, weight=weight) for at in range(3)]
    bed.state = dict.fromkeys(("e0", "e1", "e2"), t.EndpointStatus.READY)
    bed.step(t.ListReceived(t.ListKind.FULL, entries))
    names = [bed.arrive(IDEM) for _ in range(5)]
    bed.run(SECOND)
    assert all(bed.attempts[name] for name in names[:1])


def test_a_request_told_twice_is_taken_once():
    bed = Bed(deployment(), endpoints=2)
    name = bed.arrive(IDEM)
    assert not bed.sidecar.step(bed.now, [t.RequestArrived(name, IDEM.name, bed.now + SECOND)])


# Exceptions in handlers.


class Broken(Exception):
    """Raised by the planted defect."""


def with_defect(kind: type, when) -> Bed:
    """A module whose dispatcher raises on events of this type that satisfy `when`."""
    bed = Bed(deployment(), endpoints=2)
    dispatcher = bed.sidecar.dispatcher
    original = dispatcher.handlers[kind]

    def handle(event) -> None:
        if when(event):
            raise Broken
        original(event)

    dispatcher.handlers[kind] = handle
    return bed


def arrivals(bed: Bed, *names: str) -> list[t.Event]:
    return [t.RequestArrived(name, IDEM.name, bed.now + SECOND) for name in names]


def test_an_exception_over_one_note_loses_neither_the_others_nor_their_orders():
    bed = with_defect(t.RequestArrived, lambda event: event.request == "bad")
    with pytest.raises(Broken):
        bed.sidecar.step(bed.now, arrivals(bed, "a", "bad", "b"))
    commands = bed.sidecar.message_queue.commands
    assert [command.request for command in commands if isinstance(command, t.StartAttempt)] == ["a", "b"]
    assert not bed.sidecar.message_queue.waiting and not bed.sidecar.dispatcher.inbox


def test_an_exception_loses_no_wake_up_and_is_raised_once():
    bed = with_defect(t.RequestArrived, lambda event: event.request == "bad")
    bed.sidecar.step(bed.now, arrivals(bed, "a"))
    with pytest.raises(Broken):
        bed.sidecar.step(bed.now + 1, arrivals(bed, "bad"))
    wakes = [command.at for command in bed.sidecar.message_queue.commands if isinstance(command, t.SetTimer)]
    assert wakes == [bed.sidecar.message_queue.next_timer()]  # the driver may have lost the earlier one
    assert isinstance(bed.sidecar.step(bed.now + 2, []), list)


def test_an_exception_in_an_alarm_costs_no_other_alarm_of_the_moment():
    bed = with_defect(t.RequestArrived, lambda event: False)
    sidecar: Sidecar = bed.sidecar
    sidecar.step(bed.now, arrivals(bed, "a", "b"))
    kind = next(kind for kind in sidecar.dispatcher.handlers if kind.__name__ == "RequestTimeout")
    original = sidecar.dispatcher.handlers[kind]

    def give_up(event) -> None:
        if event.request.name == "a":
            raise Broken
        original(event)

    sidecar.dispatcher.handlers[kind] = give_up
    with pytest.raises(Broken):
        sidecar.step(bed.now + SECOND, [t.TimerFired(1)])
    assert any(
        isinstance(command, t.RejectRequest) and command.request == "b"
        for command in sidecar.message_queue.commands
    )
