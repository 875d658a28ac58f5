"""A sidecar on a test bed: drives `rules.Sidecar` without any bench and checks the rules after every step."""
from __future__ import annotations

from lupinmill import terms as t
from lupinmill.rules import SECOND, Sidecar

NEVER = {t.How.REFUSED, t.How.UNCONNECTED, t.How.UNSENT}
IDEM = t.Workload("view", SECOND, 2 * SECOND, 1.0, 0.2, t.Repeat.IDEMPOTENT)
KEYED = t.Workload("bid", SECOND, 3 * SECOND, 4.0, 0.2, t.Repeat.DEDUPLICATED, t.Group.CELL, 2 * SECOND)
KEYED_ALL = t.Workload("save", SECOND, 3 * SECOND, 3.0, 0.0, t.Repeat.DEDUPLICATED, t.Group.ALL, SECOND)
ONCE = t.Workload("issue", SECOND, 3 * SECOND, 2.0, 0.0, t.Repeat.UNREPEATABLE)


def deployment(**changes) -> t.Deployment:
    usual = dict(
        seed=7, instances=2, workloads=[IDEM, KEYED, KEYED_ALL, ONCE], cold_share=0.3, cold_time=5 * SECOND,
        round=5000, most_launches=4, copies_allowed=True, cancel_allowed=True, probes_allowed=True,
    )
    return t.Deployment(**(usual | changes))


def listing(number: int, state: t.State = t.State.READY, started: int = 0) -> t.Listing:
    return t.Listing(f"e{number}", state, "z", "k", str(number % 2), started)


class Bed:
    """Keeps the rules' books beside the module and fails on the first break."""

    def __init__(self, d: t.Deployment, endpoints: int = 4) -> None:
        self.d, self.now, self.serial = d, 100 * SECOND, 0
        self.sidecar = Sidecar(d)
        self.workloads = {w.name: w for w in d.workloads}
        self.owed: dict[str, t.Arrived] = {}
        self.flights: dict[str, list[dict]] = {}  # of submissions, also after their end
        self.answers: dict[str, t.Order] = {}
        self.closed: dict[str, str] = {}
        self.state: dict[str, t.State] = {}
        self.cells: dict[str, str] = {}
        self.wakes: list[int] = []
        self.logs: list[str] = []
        self.probes: list[str] = []
        self.watches: list[int] = []
        self.step(t.Listed(t.ListKind.CACHED, [listing(i) for i in range(endpoints)]))

    def step(self, *notes: t.Note, after: int = 0) -> list[t.Order]:
        self.now += after
        for note in notes:
            self.book(note)
        orders = self.sidecar.step(self.now, list(notes))
        for order in orders:
            self.check(order)
        for name, arrived in self.owed.items():
            assert self.now <= arrived.due + 20_000, f"{name} was not answered before its hard limit"
        return orders

    def run(self, span: int, stride: int = 5000) -> list[t.Order]:
        orders = []
        for _ in range(span // stride):
            due = [t.Woke(1) for at in self.wakes if at <= self.now + stride]
            self.wakes = [at for at in self.wakes if at > self.now + stride]
            if due:
                orders += self.step(*due, after=stride)
            else:
                self.now += stride
        return orders

    def arrive(self, workload: t.Workload, span: int | None = None, tenant: str = "") -> str:
        self.serial += 1
        name = f"s{self.serial}"
        self.step(t.Arrived(name, workload.name, self.now + (span or workload.hard_limit), tenant))
        return name

    def end(self, name: str, launch: int, how: t.How, load: t.Load | None = None, **more) -> list[t.Order]:
        flight = self.flights[name][launch]
        handled = how is t.How.HANDLED
        took = self.now - flight["sent"]
        closed = handled or name not in self.owed
        return self.step(t.Ended(name, launch, how, took, closed, load), **more)

    def out(self, name: str) -> list[int]:
        return [i for i, f in enumerate(self.flights.get(name, [])) if f["how"] is None]

    def book(self, note: t.Note) -> None:
        if isinstance(note, t.Arrived):
            self.owed[note.submission] = note
            self.flights[note.submission] = []
        elif isinstance(note, t.Ended):
            self.flights[note.submission][note.launch]["how"] = note.how
            if note.how is t.How.HANDLED and self.owed.pop(note.submission, None):
                self.closed[note.submission] = "handled"
        elif isinstance(note, t.Withdrawn):
            if self.owed.pop(note.submission, None):
                self.closed[note.submission] = "withdrawn"
        elif isinstance(note, t.Listed):
            for entry in note.entries:
                self.state[entry.endpoint], self.cells[entry.endpoint] = entry.state, entry.cell

    def check(self, order: t.Order) -> None:
        if isinstance(order, t.Launch):
            self.check_launch(order)
        elif isinstance(order, (t.Deny, t.BreakOff)):
            name = order.submission
            assert name in self.owed, f"{name} was answered twice or never taken"
            w = self.workloads[self.owed.pop(name).workload]
            self.closed[name] = "denied" if isinstance(order, t.Deny) else "broken off"
            if isinstance(order, t.Deny) and not (w.repeat is t.Repeat.IDEMPOTENT or w.group is t.Group.ALL):
                assert not self.maybe(name), f"{name} may have run and was denied"
        elif isinstance(order, t.WakeMe):
            assert order.at > self.now
            self.wakes.append(order.at)
        elif isinstance(order, t.Log):
            self.logs.append(order.text)
        elif isinstance(order, t.Probe):
            self.probes.append(order.endpoint)
        elif isinstance(order, t.Watch):
            self.watches.append(self.now)
        elif isinstance(order, t.CallOff):
            assert order.launch < len(self.flights[order.submission])

    def maybe(self, name: str) -> list[dict]:
        return [f for f in self.flights[name] if f["how"] not in NEVER]

    def check_launch(self, order: t.Launch) -> None:
        name = order.submission
        assert name in self.owed, f"{name} was launched after its end"
        assert self.state[order.endpoint] is t.State.READY, f"{order.endpoint} is not to be sent anything"
        w, earlier = self.workloads[self.owed[name].workload], self.maybe(name)
        if earlier and w.repeat is t.Repeat.UNREPEATABLE:
            raise AssertionError(f"{name} may run twice")
        if earlier and w.repeat is t.Repeat.DEDUPLICATED:
            assert self.now < earlier[0]["sent"] + w.window, f"{name} was sent again after its window"
            if w.group is t.Group.CELL:
                assert self.cells[order.endpoint] == self.cells[earlier[0]["endpoint"]], "outside its group"
        if not self.d.copies_allowed:
            assert not self.out(name), f"{name} has two launches out"
        assert len(self.flights[name]) < self.d.most_launches
        self.flights[name].append({"endpoint": order.endpoint, "sent": self.now, "how": None})
