"""Leases and decisions by majority: the explorer over small worlds of the real cores, and single cases."""

import os
import stat
from functools import partial

import pytest

from lupinmill.lab import fleet
from lupinmill.lab.explorer import TOPIC, AgreementWorld, InjectedFaults, explore, replay, shrink, walk
from lupinmill.lab.fleet_virtual import VirtualFleet
from lupinmill.peers import wire
from lupinmill.peers.elector import Elector, Memory, Persist, majority
from lupinmill.peers.proposer import LeaseAcquired, LeaseLost, Proposer
from lupinmill.peers.stable_store import FILE_NAME, StableStore, StoreError
from lupinmill.peers.view import SECOND, Received, Send
from lupinmill.peers.wire import Ballot, TopicState

NAMES = ["a", "b", "c"]
SEEDS = (130, 410, 1233)  # of walks in which a reused ballot violates an invariant


# --- every order, within bounds ----------------------------------------------------------------------------


@pytest.mark.parametrize("keeps", [True, False])
def test_every_schedule_with_one_departure_keeps_the_invariants(keeps):
    """Invariants: never two holders at the same time, never two decisions with one version, and no accepted
    decision is lost."""
    outcome = explore(partial(AgreementWorld, has_storage=keeps), 1)
    assert outcome.failure is None and outcome.complete and outcome.states > 5_000


@pytest.mark.parametrize(
    "planted, within",
    [
        (InjectedFaults(half_is_majority=True), 1),
        (InjectedFaults(elector_forgets=True), 2),
        (InjectedFaults(wall_clock_leases=True), 2),
    ],
)
def test_a_planted_fault_is_found_and_its_schedule_replays(planted, within):
    make = partial(AgreementWorld, faults=planted)
    found = explore(make, within, 200_000).failure
    assert found is not None and found.departures <= within
    assert replay(make, found.text()) == found.violation
    short = shrink(make, found)
    assert len(short.schedule) <= len(found.schedule) and replay(make, short.text()) == short.violation
    make_sound = AgreementWorld
    assert not violation_on_replay(make_sound, found.schedule)


def test_a_ballot_that_is_used_again_is_found():
    """A fourth planted fault, which was once a real one: a lease that was released and requested again
    started its ballots at 1. All schedules with two departures find it too, in 350,000 states; this test
    uses random walks."""
    make = partial(AgreementWorld, 3, 3, True, 4 * SECOND)
    found = [walk(partial(make, faults=InjectedFaults(reuses_ballots=True)), seed, 0.1) for seed in SEEDS]
    assert any(found) and not any(walk(make, seed, 0.1) for seed in SEEDS)


def violation_on_replay(make, schedule) -> str:
    """Replays a schedule on the sound cores, up to the first step that is no longer possible."""
    world = make()
    for action in schedule:
        if world.violation or action not in world.actions():
            break
        world.apply(action)
    return world.violation


@pytest.mark.parametrize(
    "size, wanting, keeps, horizon",
    [
        (3, 3, True, 6),
        (3, 3, False, 9),
        (5, 3, True, 6),
        (5, 3, False, 6),
    ],
)
def test_long_walks_by_chance_keep_the_invariants(size, wanting, keeps, horizon):
    make = partial(AgreementWorld, size, wanting, keeps, horizon * SECOND)
    seeds = [*range(60), 921]  # 921 lost a decision: replies of different moments were combined
    for seed in seeds:
        found = walk(make, seed, 0.1)
        assert found is None, f"seed {seed}: {found.violation}: {shrink(make, found).text()}"


@pytest.mark.parametrize(
    "name, seed", [("forgetful", 1), ("forgetful", 2), ("lossy", 3), ("halves", 4), ("thirds", 5)]
)
def test_whole_members_keep_the_invariants_through_the_shipped_troubles(name, seed):
    """`forgetful`: after all electors lose their memory at once, epochs and versions continue from what the
    other members know."""
    virtual = VirtualFleet(fleet.load(name), seed)
    result = virtual.play()
    assert not result.broken and virtual.agreed() and not virtual.false_deaths
    versions = [e.version for e in result.events if e.what == "decision" and e.state == "made"]
    epochs = [e.epoch for e in result.events if e.what == "lease" and e.state == "taken"]
    assert versions and versions == sorted(versions) and epochs == sorted(set(epochs))
    newest = {host.peer.decisions[TOPIC].version for host in virtual.hosts.values()}
    assert max(newest) - min(newest) <= 1


@pytest.mark.parametrize("seed", range(4))
def test_drawn_troubles_break_no_invariant(seed):
    virtual = VirtualFleet(fleet.random_fleet(seed), seed)
    assert not virtual.play().broken and virtual.agreed() and not virtual.false_deaths


# --- single cases ------------------------------------------------------------------------------------------


class ElectorHarness:
    """Three electors and any number of proposers, with reliable and ordered delivery."""

    def __init__(self, lease: int = 2 * SECOND) -> None:
        self.now, self.lease = 1000 * SECOND, lease
        self.electors = {
            n: Elector(n, NAMES, [TOPIC], lease, at + 1, self.now, Memory()) for at, n in enumerate(NAMES)
        }
        self.proposers: dict[str, Proposer] = {}
        self.commands: dict[str, list] = {}
        self.unreachable: set[str] = set()

    def add_proposer(self, name: str, instance_id: int = 9) -> Proposer:
        self.proposers[name] = Proposer(name, NAMES, self.lease, instance_id, instance_id, self.now)
        self.commands[name] = []
        return self.proposers[name]

    def run(self, duration: int, step_us: int = 10_000) -> None:
        for _ in range(duration // step_us):
            self.now += step_us
            inboxes: dict[str, list[Received]] = {name: [] for name in self.proposers}
            for _ in range(6):
                to_electors: dict[str, list[Received]] = {name: [] for name in NAMES}
                for name, proposer in self.proposers.items():
                    for command in proposer.step(self.now, inboxes[name]):
                        if isinstance(command, Send):
                            to_electors[command.to].append(Received(name, command.body))
                        else:
                            self.commands[name].append(command)
                inboxes = {name: [] for name in self.proposers}
                for name, elector in self.electors.items():
                    if name in self.unreachable:
                        continue
                    for command in elector.step(self.now, to_electors[name]):
                        for send in command.then_send if isinstance(command, Persist) else [command]:
                            if send.to in inboxes:
                                inboxes[send.to].append(Received(name, send.body))


def test_a_lease_passes_when_its_holder_gives_it_up_and_epochs_grow():
    harness = ElectorHarness()
    first, second = harness.add_proposer("x", 5), harness.add_proposer("y", 6)
    first.request(TOPIC)
    harness.run(SECOND)
    assert first.held_epoch(TOPIC, harness.now) == 1
    second.request(TOPIC)
    harness.run(SECOND)
    assert not second.held_epoch(TOPIC, harness.now) and second.claims[TOPIC].current_holder == "x"
    first.release(TOPIC)
    assert not first.held_epoch(TOPIC, harness.now), "released at once"
    harness.run(3 * SECOND)
    assert second.held_epoch(TOPIC, harness.now) == 2


def test_a_stopped_holder_does_not_act_on_a_lease_that_ran_out():
    harness = ElectorHarness()
    holder = harness.add_proposer("x")
    holder.request(TOPIC)
    harness.run(SECOND)
    assert holder.held_epoch(TOPIC, harness.now)
    later = harness.now + 3 * SECOND  # paused: no step in between
    assert holder.held_epoch(TOPIC, later) == 0
    holder.now = later
    assert not holder.decide(TOPIC, b"mine")
    assert [type(command) for command in holder.step(later, [])][0] is LeaseLost


def test_a_minority_of_electors_gives_no_lease():
    harness = ElectorHarness()
    harness.unreachable = {"b", "c"}
    holder = harness.add_proposer("x")
    holder.request(TOPIC)
    harness.run(5 * SECOND)
    assert not harness.commands["x"] and not holder.held_epoch(TOPIC, harness.now)
    harness.unreachable = {"c"}
    harness.run(5 * SECOND)
    assert isinstance(harness.commands["x"][0], LeaseAcquired)


def test_a_decision_is_made_once_and_a_fenced_holder_makes_none():
    harness = ElectorHarness()
    first, second = harness.add_proposer("x", 5), harness.add_proposer("y", 6)
    first.request(TOPIC)
    harness.run(SECOND)
    assert first.decide(TOPIC, b"one") and not first.decide(TOPIC, b"two"), "one at a time"
    harness.run(SECOND)
    assert [o.version for o in harness.commands["x"] if not isinstance(o, LeaseAcquired)] == [1]
    stopped = harness.proposers.pop("x")
    second.request(TOPIC)
    harness.run(6 * SECOND)
    assert second.held_epoch(TOPIC, harness.now) == 2 and second.claims[TOPIC].version == 1
    harness.proposers["x"] = stopped
    stopped.now = harness.now
    assert not stopped.decide(TOPIC, b"late")
    harness.run(SECOND)
    assert {e.registers[TOPIC].value.body for e in harness.electors.values()} <= {b"one", b""}


def promise_of(elector: Elector, now: int, number: int, sender: str = "x") -> wire.Promise:
    (command,) = elector.step(now, [Received(sender, wire.Prepare(TOPIC, Ballot(number, f"{sender}:1")))])
    assert isinstance(command, Persist)
    return command.then_send[0].body


def replies_to_accept(
    elector: Elector, now: int, number: int, value: TopicState, sender: str = "x", instance_id: int = 1
) -> list:
    accept = wire.Accept(TOPIC, Ballot(number, f"{sender}:1"), instance_id, value)
    return [type(o) for o in elector.step(now, [Received(sender, accept)])]


def test_an_elector_does_not_take_what_no_honest_asker_offers():
    now = 1000 * SECOND
    elector = Elector("a", NAMES, [TOPIC], 2 * SECOND, 1, now, Memory())
    held = TopicState(1, "x", 5, SECOND, 0, b"")
    promise_of(elector, now, 1)
    assert replies_to_accept(elector, now, 1, held) == [Persist]
    promise_of(elector, now, 2, "y")
    for value in (
        TopicState(2, "y", 6, SECOND, 0, b""),  # the other proposer's lease still runs
        TopicState(1, "", 0, 0, 0, b""),  # not y's lease to release
        TopicState(0, "x", 5, SECOND, 0, b""),  # a lower epoch
        TopicState(2, "x", 5, SECOND, 0, b""),  # on behalf of another member
        TopicState(2, "y", 6, 9 * SECOND, 0, b""),  # longer than any lease
    ):
        assert replies_to_accept(elector, now, 2, value, "y") == []
    later = now + 2 * SECOND
    assert replies_to_accept(elector, later, 2, TopicState(2, "y", 6, SECOND, 0, b""), "y") == [Persist]
    assert replies_to_accept(elector, later, 1, held) == [Send], "an older ballot is refused"
    refused = elector.step(later, [Received("x", wire.Prepare("invented", Ballot(1, "x:1")))])
    assert isinstance(refused[0].body, wire.Nack) and list(elector.registers) == [TOPIC]


def test_an_acceptance_is_only_for_the_life_that_promised():
    now = 1000 * SECOND
    elector = Elector("a", NAMES, [TOPIC], 2 * SECOND, 1, now, Memory())
    promise_of(elector, now, 1)
    again = Elector("a", NAMES, [TOPIC], 2 * SECOND, 2, now, Memory())
    promise_of(again, now, 1)
    assert replies_to_accept(again, now, 1, TopicState(1, "x", 5, SECOND, 0, b""), instance_id=1) == [Send]
    assert replies_to_accept(again, now, 1, TopicState(1, "x", 5, SECOND, 0, b""), instance_id=2) == [Persist]


def test_an_elector_that_forgot_is_silent_and_writes_nothing_until_it_has_asked():
    """Guards against an empty file that the next start would take for the elector's memory."""
    now = 1000 * SECOND
    elector = Elector("a", NAMES, [TOPIC], 2 * SECOND, 1, now, None)
    commands = elector.step(
        now,
        [
            Received("x", wire.Prepare(TOPIC, Ballot(1, "x:1"))),
            Received("b", wire.RecallRequest(7, 1)),
        ],
    )
    assert not any(isinstance(command, Persist) for command in commands)
    assert [o.body.abstains for o in commands if isinstance(o.body, wire.Nack)] == [True]
    assert [o.body.has_memory for o in commands if isinstance(o.body, wire.RecallReply)] == [False]


def test_an_elector_that_forgot_begins_from_what_a_majority_remembers():
    now = 1000 * SECOND
    others = {n: Elector(n, NAMES, [TOPIC], 2 * SECOND, 3, now, Memory()) for n in ("b", "c")}
    held = TopicState(4, "x", 5, SECOND, 2, b"what was decided")
    for elector in others.values():
        promise_of(elector, now, 3)
        replies_to_accept(elector, now, 3, held, instance_id=3)
    elector = Elector("a", NAMES, [TOPIC], 2 * SECOND, 1, now, None)
    writes = 0
    for _ in range(30):
        now += 100_000
        requests = [o for o in elector.step(now, []) if isinstance(o, Send)]
        for request in requests:
            for command in others[request.to].step(now, [Received("a", request.body)]):
                for send in command.then_send:
                    writes += sum(
                        isinstance(o, Persist) for o in elector.step(now, [Received(request.to, send.body)])
                    )
        if now < 1002 * SECOND:
            assert not elector.votes(), "leases that it granted before may still run"
    assert elector.votes() and writes == 1
    assert elector.registers[TOPIC].value == held
    assert all(
        e.registers[TOPIC].promised.number > 3 for e in others.values()
    ), "promises are raised before the reply"


def test_majorities():
    assert [majority(n) for n in (1, 3, 5, 7)] == [1, 2, 3, 4]


# --- the file ----------------------------------------------------------------------------------------------


BODY = b"\x91\x90"


def test_promises_survive_and_others_are_kept_out(tmp_path):
    store = StableStore(str(tmp_path / "own"))
    assert store.read() is None
    elector = Elector("a", NAMES, [TOPIC], SECOND, 1, 0, Memory())
    promise_of(elector, 0, 7)
    store.write(elector.encode_memory())
    with pytest.raises(StoreError, match="another process holds the lock"):
        StableStore(str(tmp_path / "own"))
    store.close()
    again = StableStore(str(tmp_path / "own"))
    memory = again.read()
    assert memory.registers[0][1] == Ballot(7, "x:1")
    assert stat.S_IMODE(os.stat(tmp_path / "own" / FILE_NAME).st_mode) == 0o600
    again.close()


def test_any_damage_counts_as_having_forgotten(tmp_path):
    store = StableStore(str(tmp_path))
    store.write(encoded_memory())
    good = (tmp_path / FILE_NAME).read_bytes()
    for at in range(len(good)):
        (tmp_path / FILE_NAME).write_bytes(good[:at])
        assert store.read() is None
        (tmp_path / FILE_NAME).write_bytes(good[:at] + bytes([good[at] ^ 0x10]) + good[at + 1 :])
        assert store.read() is None
    (tmp_path / FILE_NAME).write_bytes(good)
    assert store.read() is not None
    store.close()


def encoded_memory() -> bytes:
    import msgspec

    return msgspec.msgpack.encode(
        Memory([(TOPIC, Ballot(1, "x"), Ballot(1, "x"), TopicState(1, "x", 2, 3, 4, b"5"))])
    )


def test_a_write_that_fails_leaves_the_file_as_it_was(tmp_path, monkeypatch):
    store = StableStore(str(tmp_path))
    store.write(encoded_memory())
    before = store.read()
    for call in ("write", "fsync", "rename"):

        def full(*args):
            raise OSError(28, "No space left on device")

        with monkeypatch.context() as patched:
            patched.setattr(os, call, full)
            with pytest.raises(OSError):
                store.write(BODY)
        assert store.read() == before
    store.close()
