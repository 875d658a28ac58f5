"""Leases and decisions by majority: the explorer over small worlds of the very cores, and single cases by
hand."""

import os
import stat
from functools import partial

import pytest

from lupinmill.lab import fleet
from lupinmill.lab.explorer import TOPIC, AgreementWorld, Planted, explore, replay, shortened, walk
from lupinmill.lab.fleet_virtual import VirtualFleet
from lupinmill.peers import wire
from lupinmill.peers.elector import Elector, Memory, Persist, majority
from lupinmill.peers.proposer import LeaseAcquired, LeaseLost, Proposer
from lupinmill.peers.stable_store import FILE_NAME, StableStore, StoreError
from lupinmill.peers.view import SECOND, Received, Send
from lupinmill.peers.wire import Ballot, TopicState

NAMES = ["a", "b", "c"]
SEEDS = (130, 410, 1233)  # of walks in which a ballot used again does harm


# --- every order, within bounds ----------------------------------------------------------------------------


@pytest.mark.parametrize("keeps", [True, False])
def test_every_schedule_with_one_departure_keeps_the_invariants(keeps):
    """Never two holders at a moment, never two decisions under one number, none lost that was told as
    made."""
    outcome = explore(partial(AgreementWorld, keeps=keeps), 1)
    assert outcome.found is None and outcome.whole and outcome.states > 5_000


@pytest.mark.parametrize(
    "planted, within",
    [
        (Planted(miscounts=True), 1),
        (Planted(forgets=True), 2),
        (Planted(wall=True), 2),
    ],
)
def test_a_planted_fault_is_found_and_its_schedule_replays(planted, within):
    make = partial(AgreementWorld, planted=planted)
    found = explore(make, within, 200_000).found
    assert found is not None and found.departures <= within
    assert replay(make, found.text()) == found.wrong
    short = shortened(make, found)
    assert len(short.schedule) <= len(found.schedule) and replay(make, short.text()) == short.wrong
    sound = AgreementWorld
    assert not replay_or_nothing(sound, found.schedule)


def test_a_ballot_that_is_used_again_is_found():
    """A fourth planted fault, seen for real: a claim given up and wanted anew began its ballots at 1. All
    schedules with two departures find it too, in 350,000 states; here a walk that does."""
    make = partial(AgreementWorld, 3, 3, True, 4 * SECOND)
    found = [walk(partial(make, planted=Planted(reuses=True)), seed, 0.1) for seed in SEEDS]
    assert any(found) and not any(walk(make, seed, 0.1) for seed in SEEDS)


def replay_or_nothing(make, schedule) -> str:
    """The sound cores under the same schedule; steps that don't fit it any more end it."""
    world = make()
    for action in schedule:
        if world.wrong or action not in world.actions():
            break
        world.apply(action)
    return world.wrong


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
    seeds = [*range(60), 921]  # 921: words of different moments were taken for one, and a decision was lost
    for seed in seeds:
        found = walk(make, seed, 0.1)
        assert found is None, f"seed {seed}: {found.wrong}: {shortened(make, found).text()}"


@pytest.mark.parametrize(
    "name, seed", [("forgetful", 1), ("forgetful", 2), ("lossy", 3), ("halves", 4), ("thirds", 5)]
)
def test_whole_members_keep_the_invariants_through_the_shipped_troubles(name, seed):
    """Forgetful: numbers go on where all electors forget at once, from what other members ever heard of."""
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
    virtual = VirtualFleet(fleet.drawn(seed), seed)
    assert not virtual.play().broken and virtual.agreed() and not virtual.false_deaths


# --- single cases ------------------------------------------------------------------------------------------


class Hall:
    """Three electors and any number of askers, without a network: what is sent arrives, in order."""

    def __init__(self, span: int = 2 * SECOND) -> None:
        self.now, self.span = 1000 * SECOND, span
        self.electors = {
            n: Elector(n, NAMES, [TOPIC], span, at + 1, self.now, Memory()) for at, n in enumerate(NAMES)
        }
        self.askers: dict[str, Proposer] = {}
        self.orders: dict[str, list] = {}
        self.deaf: set[str] = set()

    def asker(self, name: str, life: int = 9) -> Proposer:
        self.askers[name] = Proposer(name, NAMES, self.span, life, life, self.now)
        self.orders[name] = []
        return self.askers[name]

    def run(self, span: int, stride: int = 10_000) -> None:
        for _ in range(span // stride):
            self.now += stride
            inboxes: dict[str, list[Received]] = {name: [] for name in self.askers}
            for _ in range(6):
                to_electors: dict[str, list[Received]] = {name: [] for name in NAMES}
                for name, asker in self.askers.items():
                    for order in asker.step(self.now, inboxes[name]):
                        if isinstance(order, Send):
                            to_electors[order.to].append(Received(name, order.body))
                        else:
                            self.orders[name].append(order)
                inboxes = {name: [] for name in self.askers}
                for name, elector in self.electors.items():
                    if name in self.deaf:
                        continue
                    for order in elector.step(self.now, to_electors[name]):
                        for send in order.then_send if isinstance(order, Persist) else [order]:
                            if send.to in inboxes:
                                inboxes[send.to].append(Received(name, send.body))


def test_a_lease_passes_when_its_holder_gives_it_up_and_epochs_grow():
    hall = Hall()
    first, second = hall.asker("x", 5), hall.asker("y", 6)
    first.request(TOPIC)
    hall.run(SECOND)
    assert first.held_epoch(TOPIC, hall.now) == 1
    second.request(TOPIC)
    hall.run(SECOND)
    assert not second.held_epoch(TOPIC, hall.now) and second.claims[TOPIC].current_holder == "x"
    first.release(TOPIC)
    assert not first.held_epoch(TOPIC, hall.now), "given up counts from that moment on"
    hall.run(3 * SECOND)
    assert second.held_epoch(TOPIC, hall.now) == 2


def test_a_stopped_holder_does_not_act_on_a_lease_that_ran_out():
    hall = Hall()
    holder = hall.asker("x")
    holder.request(TOPIC)
    hall.run(SECOND)
    assert holder.held_epoch(TOPIC, hall.now)
    later = hall.now + 3 * SECOND  # it was stopped: no step in between
    assert holder.held_epoch(TOPIC, later) == 0
    holder.now = later
    assert not holder.decide(TOPIC, b"mine")
    assert [type(order) for order in holder.step(later, [])][0] is LeaseLost


def test_a_minority_of_electors_gives_no_lease():
    hall = Hall()
    hall.deaf = {"b", "c"}
    holder = hall.asker("x")
    holder.request(TOPIC)
    hall.run(5 * SECOND)
    assert not hall.orders["x"] and not holder.held_epoch(TOPIC, hall.now)
    hall.deaf = {"c"}
    hall.run(5 * SECOND)
    assert isinstance(hall.orders["x"][0], LeaseAcquired)


def test_a_decision_is_made_once_and_a_fenced_holder_makes_none():
    hall = Hall()
    first, second = hall.asker("x", 5), hall.asker("y", 6)
    first.request(TOPIC)
    hall.run(SECOND)
    assert first.decide(TOPIC, b"one") and not first.decide(TOPIC, b"two"), "one at a time"
    hall.run(SECOND)
    assert [o.version for o in hall.orders["x"] if not isinstance(o, LeaseAcquired)] == [1]
    stopped = hall.askers.pop("x")
    second.request(TOPIC)
    hall.run(6 * SECOND)
    assert second.held_epoch(TOPIC, hall.now) == 2 and second.claims[TOPIC].version == 1
    hall.askers["x"] = stopped
    stopped.now = hall.now
    assert not stopped.decide(TOPIC, b"late")
    hall.run(SECOND)
    assert {e.registers[TOPIC].value.body for e in hall.electors.values()} <= {b"one", b""}


def prepared(elector: Elector, now: int, number: int, sender: str = "x") -> wire.Promise:
    (keep,) = elector.step(now, [Received(sender, wire.Prepare(TOPIC, Ballot(number, f"{sender}:1")))])
    assert isinstance(keep, Persist)
    return keep.then_send[0].body


def offered(
    elector: Elector, now: int, number: int, value: TopicState, sender: str = "x", life: int = 1
) -> list:
    accept = wire.Accept(TOPIC, Ballot(number, f"{sender}:1"), life, value)
    return [type(o) for o in elector.step(now, [Received(sender, accept)])]


def test_an_elector_does_not_take_what_no_honest_asker_offers():
    now = 1000 * SECOND
    elector = Elector("a", NAMES, [TOPIC], 2 * SECOND, 1, now, Memory())
    held = TopicState(1, "x", 5, SECOND, 0, b"")
    prepared(elector, now, 1)
    assert offered(elector, now, 1, held) == [Persist]
    prepared(elector, now, 2, "y")
    for value in (
        TopicState(2, "y", 6, SECOND, 0, b""),  # the other's lease runs
        TopicState(1, "", 0, 0, 0, b""),  # nor is it y's to give up
        TopicState(0, "x", 5, SECOND, 0, b""),  # an epoch set back
        TopicState(2, "x", 5, SECOND, 0, b""),  # in another's name
        TopicState(2, "y", 6, 9 * SECOND, 0, b""),  # longer than any lease
    ):
        assert offered(elector, now, 2, value, "y") == []
    later = now + 2 * SECOND
    assert offered(elector, later, 2, TopicState(2, "y", 6, SECOND, 0, b""), "y") == [Persist]
    assert offered(elector, later, 1, held) == [Send], "an older ballot is refused"
    refused = elector.step(later, [Received("x", wire.Prepare("invented", Ballot(1, "x:1")))])
    assert isinstance(refused[0].body, wire.Nack) and list(elector.registers) == [TOPIC]


def test_an_acceptance_is_only_for_the_life_that_promised():
    now = 1000 * SECOND
    elector = Elector("a", NAMES, [TOPIC], 2 * SECOND, 1, now, Memory())
    prepared(elector, now, 1)
    again = Elector("a", NAMES, [TOPIC], 2 * SECOND, 2, now, Memory())
    prepared(again, now, 1)
    assert offered(again, now, 1, TopicState(1, "x", 5, SECOND, 0, b""), life=1) == [Send]
    assert offered(again, now, 1, TopicState(1, "x", 5, SECOND, 0, b""), life=2) == [Persist]


def test_an_elector_that_forgot_is_silent_and_writes_nothing_until_it_has_asked():
    """Guards against an empty file that after the next restart is taken for a memory."""
    now = 1000 * SECOND
    elector = Elector("a", NAMES, [TOPIC], 2 * SECOND, 1, now, None)
    orders = elector.step(
        now,
        [
            Received("x", wire.Prepare(TOPIC, Ballot(1, "x:1"))),
            Received("b", wire.RecallRequest(7, 1)),
        ],
    )
    assert not any(isinstance(order, Persist) for order in orders)
    assert [o.body.abstains for o in orders if isinstance(o.body, wire.Nack)] == [True]
    assert [o.body.has_memory for o in orders if isinstance(o.body, wire.RecallReply)] == [False]


def test_an_elector_that_forgot_begins_from_what_a_majority_remembers():
    now = 1000 * SECOND
    others = {n: Elector(n, NAMES, [TOPIC], 2 * SECOND, 3, now, Memory()) for n in ("b", "c")}
    held = TopicState(4, "x", 5, SECOND, 2, b"what was decided")
    for elector in others.values():
        prepared(elector, now, 3)
        offered(elector, now, 3, held, life=3)
    elector = Elector("a", NAMES, [TOPIC], 2 * SECOND, 1, now, None)
    kept = 0
    for _ in range(30):
        now += 100_000
        asks = [o for o in elector.step(now, []) if isinstance(o, Send)]
        for ask in asks:
            for order in others[ask.to].step(now, [Received("a", ask.body)]):
                for send in order.then_send:
                    kept += sum(
                        isinstance(o, Persist) for o in elector.step(now, [Received(ask.to, send.body)])
                    )
        if now < 1002 * SECOND:
            assert not elector.votes(), "promises of its former life may still run"
    assert elector.votes() and kept == 1
    assert elector.registers[TOPIC].value == held
    assert all(e.registers[TOPIC].promised.number > 3 for e in others.values()), "bound before they answered"


def test_majorities():
    assert [majority(n) for n in (1, 3, 5, 7)] == [1, 2, 3, 4]


# --- the file ----------------------------------------------------------------------------------------------


BODY = b"\x91\x90"


def test_promises_survive_and_others_are_kept_out(tmp_path):
    promises = StableStore(str(tmp_path / "own"))
    assert promises.read() is None
    elector = Elector("a", NAMES, [TOPIC], SECOND, 1, 0, Memory())
    prepared(elector, 0, 7)
    promises.write(elector.encode_memory())
    with pytest.raises(StoreError, match="another process holds the lock"):
        StableStore(str(tmp_path / "own"))
    promises.close()
    again = StableStore(str(tmp_path / "own"))
    memory = again.read()
    assert memory.registers[0][1] == Ballot(7, "x:1")
    assert stat.S_IMODE(os.stat(tmp_path / "own" / FILE_NAME).st_mode) == 0o600
    again.close()


def test_any_damage_counts_as_having_forgotten(tmp_path):
    promises = StableStore(str(tmp_path))
    promises.write(encoded_memory())
    good = (tmp_path / FILE_NAME).read_bytes()
    for at in range(len(good)):
        (tmp_path / FILE_NAME).write_bytes(good[:at])
        assert promises.read() is None
        (tmp_path / FILE_NAME).write_bytes(good[:at] + bytes([good[at] ^ 0x10]) + good[at + 1 :])
        assert promises.read() is None
    (tmp_path / FILE_NAME).write_bytes(good)
    assert promises.read() is not None
    promises.close()


def encoded_memory() -> bytes:
    import msgspec

    return msgspec.msgpack.encode(
        Memory([(TOPIC, Ballot(1, "x"), Ballot(1, "x"), TopicState(1, "x", 2, 3, 4, b"5"))])
    )


def test_a_write_that_fails_leaves_the_file_as_it_was(tmp_path, monkeypatch):
    promises = StableStore(str(tmp_path))
    promises.write(encoded_memory())
    before = promises.read()
    for call in ("write", "fsync", "rename"):

        def full(*args):
            raise OSError(28, "No space left on device")

        with monkeypatch.context() as patched:
            patched.setattr(os, call, full)
            with pytest.raises(OSError):
                promises.write(BODY)
        assert promises.read() == before
    promises.close()
