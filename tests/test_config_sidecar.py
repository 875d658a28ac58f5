"""Configuration in a running sidecar: versions apply completely or not at all, and requests in progress keep
the settings they started with."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import anyio
import orjson
import pytest
from bed import Net, on_network, settings, wanted
from test_admin import admin_request, send_admin_request
from endpoint_acts import always, until

from lupinmill import terms as t
from lupinmill.config import stable_store, wire
from lupinmill.config.driver import ConfigWatch
from lupinmill.config.follower import Follower
from lupinmill.config.history import History
from lupinmill.config.model import Entries, Key, Version
from lupinmill.program import live_config, operators_file
from lupinmill.program.process_settings import parse_settings
from lupinmill.program.sidecar import Program
from lupinmill.protocol.http import Answer
from lupinmill.transport.buffers import BlockPool

FLEET, MINE = Key("fleet", "settings"), Key("sidecar/n1", "settings")


# --- stand-ins -----------------------------------------------------------------------------------


class StandInRelay:
    """Serves a `History` over the wire format. `fault`: raw bytes to send instead of a reply, or "silent"."""

    def __init__(self) -> None:
        self.history = History(Version(), {})
        self.changed, self.fault, self.calls, self.statuses = anyio.Event(), None, 0, []
        self.address, self.scope = "", None

    def push(self, entries: Entries) -> Version:
        version = self.history.push(entries)
        self.changed.set()
        self.changed = anyio.Event()
        return version

    async def run(self, port: int = 0, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        with anyio.CancelScope() as self.scope:
            async with await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port) as listener:
                self.address = "127.0.0.1:%d" % listener.extra(anyio.abc.SocketAttribute.local_port)
                task_status.started()
                await listener.serve(self.serve)

    async def serve(self, stream) -> None:
        from lupinmill.protocol.http import ServerSide

        async with stream:
            side = ServerSide()
            try:
                while True:
                    while (request := side.next_request()) is None:
                        side.feed(await stream.receive())
                    self.calls += 1
                    if self.fault == "silent":
                        await stream.receive()
                        return
                    if self.fault is not None:
                        await stream.send(self.fault)
                        await stream.receive()
                        return
                    watch = wire.decode_watch(request)
                    self.statuses.append(watch.status)
                    with anyio.move_on_after(min(0.3, watch.wait_ms / 1000)):
                        while not self.history.has_changes(watch.since, watch.scopes):
                            await self.changed.wait()
                    reply = self.history.reply(watch.since, watch.scopes, 100)
                    await stream.send(side.answer(Answer(200, [], wire.encode_reply(reply)), False))
                    side.goes_on()
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                pass


class ConfigNet(Net):
    """A whole sidecar program that watches a stand-in relay."""

    def __init__(self, acts, keep: str = "", before=lambda relay: None, file: str = "", **more) -> None:
        super().__init__(acts, operator=True, **more)
        self.relay, self.keep, self.before, self.file = StandInRelay(), keep, before, file

    def told(self):
        relays = f'["{self.relay.address}"]'
        text = f'[config]\nrelays = {relays}\nkeep = "{self.keep}"\nservice = "portal"\nspread_s = 0.1\n'
        found = operators_file.parse(__import__("tomllib").loads(f'site = "x"\n{self.file}\n{text}'))
        told = parse_settings(self.table, {})
        operators_file.check_against_platform(found, told.name, told.deployment)
        return live_config.replace(told, operator_file=found)

    async def start_program(self, group) -> None:
        await group.start(self.relay.run)
        self.before(self.relay)
        self.table["operator"] = "127.0.0.1:0"
        self.program = Program(self.told(), lambda event, **f: self.logs.append((event, f)), self.told)
        tell = self.program.engine.handle_event
        self.program.engine.handle_event = lambda event: (self.events.append(event), tell(event))
        self.address = await group.start(self.program.run)

    def version(self) -> int:
        return self.program.live_config.current.version.index

    async def in_force(self, entries: Entries) -> None:
        version = self.relay.push(entries)
        await until(lambda: self.version() == version.index)

    async def refused(self, entries: Entries) -> str:
        version, held = self.relay.push(entries), self.program.live_config
        await until(lambda: held.refused is not None and held.refused.version == version)
        return held.refused.reason

    async def shown(self) -> dict:
        status, text = await send_admin_request(self, admin_request("GET", "/admin/config"))
        assert status == 200
        return orjson.loads(text.partition(b"\r\n\r\n")[2])


def network(check, *acts, **more) -> ConfigNet:
    return on_network(check, *acts, net_of=ConfigNet, **more)


async def answer_ok(_):
    return Answer(200, [], b"ok")


def workload(**more) -> dict:
    return {"contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "repeatable"} | more


# --- in a running program ------------------------------------------------------------------------


def test_a_new_limit_a_workload_that_comes_and_one_that_goes_are_in_force_without_a_restart():
    async def check(net):
        program = net.program
        assert (await net.ask(wanted("s0", "quick"))).status == 404
        await net.in_force(
            {
                FLEET: {
                    "workloads": {"quick": workload(value=3.0), "bid": None},
                    "limits": {"connect-timeout-s": 0.7, "conn-idle-s": 11.0, "max-retry-after-s": 0.5},
                    "instances": 2,
                }
            }
        )
        assert (await net.ask(wanted("s1", "quick"))).status == 200
        denied = await net.ask(wanted("s2", "bid"))
        assert denied.status == 503 and denied.header(b"retry-after") == "0.250"
        assert (await net.ask(wanted("s3", "view"))).status == 200
        assert not any(
            isinstance(event, t.RequestArrived) and event.workload == "bid" for event in net.events
        )
        assert program.connection_pool.timeout_s == 0.7 and program.connection_pool.max_idle_s == 11.0 * 0.8
        assert program.client_handler.retry_after == 250_000
        assert program.admission.workloads == {"view", "issue", "quick"} == program.request_factory.workloads
        assert program.engine.sidecar.dispatcher.settings.active_sidecars == 2
        await net.in_force({FLEET: {"workloads": {"quick": None}}})
        assert (await net.ask(wanted("s4", "quick"))).status == 503
        assert (await net.ask(wanted("s5", "bid"))).status == 200
        assert program.engine.sidecar.dispatcher.settings.active_sidecars == 1
        cap = program.engine.sidecar.dispatcher.cap
        await net.in_force({FLEET: {"instances": 400}})
        assert program.discovery.wait == 2.0 and program.engine.sidecar.dispatcher.cap == cap / 400

    network(check, answer_ok)


def test_a_shorter_contract_denies_the_next_and_work_in_hand_ends_by_its_own():
    """The endpoints never answer: the old hard limit is 1.0 s, the new one 0.2 s."""

    async def check(net):
        times = {}

        async def ask(name):
            began = anyio.current_time()
            times[name] = (await net.ask(wanted(name, "view", "1.0"))).status, anyio.current_time() - began

        async with anyio.create_task_group() as group:
            group.start_soon(ask, "old")
            await until(lambda: net.stands[0].seen)
            open_ = net.program.engine.sidecar.dispatcher.requests["old"]
            await net.in_force({FLEET: {"workloads": {"view": {"repeat": "once", "contract-time-s": 0.2}}}})
            group.start_soon(ask, "new")
            await until(lambda: "new" in net.program.engine.sidecar.dispatcher.requests)
            newer = net.program.engine.sidecar.dispatcher.requests["new"]
            assert open_.workload.repeat is t.RepeatPolicy.IDEMPOTENT and open_.workload.contract == 500_000
            assert newer.workload.repeat is t.RepeatPolicy.UNREPEATABLE and newer.workload.contract == 200_000
        assert times["old"][0] in (502, 503) and times["new"][0] == 502

    network(check, always("silent"))


def test_two_changes_in_one_pass_leave_the_last_one_whole():
    async def check(net):
        net.relay.push({FLEET: {"instances": 3}})
        await net.in_force({FLEET: {"instances": 4, "limits": {"most-launches": 2}}})
        assert (
            net.program.settings.deployment.instances == 4
            and net.program.settings.deployment.max_attempts == 2
        )
        deployed = [event.deployment for event in net.events if isinstance(event, t.DeploymentChanged)]
        assert {(d.instances, d.max_attempts) for d in deployed} <= {(3, 4), (4, 2)}

    network(check, answer_ok)


@pytest.mark.parametrize("first", ["file", "version"])
def test_a_sighup_and_a_version_that_cross_leave_the_newest_of_both(first):
    async def check(net):
        # Valid only with the newer file: for "extra" the version has nothing but a value.
        change = {FLEET: {"workloads": {"extra": {"value": 5.0}}, "instances": 7}}
        more = settings()["workloads"] + [{"name": "extra"} | workload()]
        if first == "version":
            assert "settings.workloads.3" in await net.refused(change)
        net.table["settings"] = settings(workloads=more)
        net.program.reload()
        if first == "file":
            assert (await net.ask(wanted("s0", "extra"))).status == 200
            await net.in_force(change)
        await until(lambda: net.version() == 1)
        deployment_ = net.program.settings.deployment
        assert deployment_.instances == 7 and deployment_.workloads[-1].value == 5.0
        assert (await net.ask(wanted("s1", "extra"))).status == 200
        await until(lambda: net.relay.statuses[-1].in_force.index == 1 and not net.relay.statuses[-1].refused)
        # A file that conflicts is refused with its key, and the settings in force stay.
        net.table["settings"] = settings(workloads=more, tier=1)
        net.program.reload()
        assert ("reload_refused", {"error": "settings.tier: needs a restart"}) in net.logs
        net.table["settings"] = settings()
        net.program.reload()
        assert "settings.workloads.3" in net.logs[-1][1]["error"]
        assert (
            net.program.settings.deployment is deployment_
            and net.program.live_config.platform_settings.settings != settings()
        )

    network(check, answer_ok)


def test_without_the_table_a_sighup_refuses_other_settings_as_ever():
    async def check(net):
        net.table["settings"] = settings(instances=5)
        told = parse_settings(net.table, {})
        net.program.read_settings = lambda: told
        net.program.reload()
        assert net.logs[-1] == ("reload_refused", {"error": "these need a restart", "fields": ["settings"]})
        assert net.program.live_config is None

    on_network(check, answer_ok)


def test_relays_of_the_file_change_with_a_sighup():
    async def check(net):
        other = StandInRelay()
        async with anyio.create_task_group() as group:
            await group.start(other.run)
            first, net.relay = net.relay, other
            net.program.reload()
            assert net.logs[-1][0] == "reloaded"
            await net.in_force({FLEET: {"instances": 6}})
            assert net.program.live_config.source == other.address
            calls = first.calls
            await net.in_force({FLEET: {"instances": 8}})
            assert first.calls == calls
            net.relay = first
            group.cancel_scope.cancel()

    network(check, answer_ok)


# --- start, end, upgrade -------------------------------------------------------------------------

CHANGES = {FLEET: {"workloads": {"quick": workload()}, "limits": {"most-launches": 3}}}
SCOPES = ["fleet", "service/portal", "sidecar/n1"]


def kept_file(tmp_path, entries: Entries = CHANGES, scopes=SCOPES) -> str:
    path = tmp_path / "kept"
    stable_store.save(path, Version(7, "mark"), entries | {ConfigWatch.WATCHED_SCOPES_KEY: scopes})
    return str(path)


def make_silent(relay: StandInRelay) -> None:
    relay.fault = "silent"


def test_a_start_goes_by_the_kept_version_before_any_relay_answers(tmp_path):
    async def check(net):
        assert (await net.ask(wanted("s1", "quick"))).status == 200
        assert net.program.settings.deployment.max_attempts == 3
        shown = await net.shown()
        assert (shown["version"], shown["source"], shown["scopes"]) == (7, "kept file", SCOPES)
        assert (shown["mark"], shown["kept"], shown["heard"]) == ("mark", 7, 7)

    network(check, answer_ok, keep=kept_file(tmp_path), before=make_silent)


def test_a_start_without_a_kept_version_goes_by_what_is_told_and_takes_the_first_answer(tmp_path):
    async def check(net):
        assert (await net.ask(wanted("s1", "quick"))).status == 404
        assert (await net.ask(wanted("s2", "view"))).status == 200
        assert (await net.shown())["source"] == "as told"
        net.relay.fault = None
        await net.in_force(CHANGES)
        assert (await net.ask(wanted("s3", "quick"))).status == 200
        await until(lambda: net.program.live_config.watch.saved_index == 1)
        version, entries = stable_store.load(tmp_path / "kept")
        assert version == net.relay.history.version
        assert entries == CHANGES | {ConfigWatch.WATCHED_SCOPES_KEY: SCOPES}

    def away(relay):
        relay.fault = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"

    network(check, answer_ok, keep=str(tmp_path / "kept"), before=away)


@pytest.mark.parametrize("spoil", ["cut", "other scopes", "unfit", "fixed"])
def test_a_kept_version_that_can_not_be_gone_by_is_said_and_the_start_goes_by_what_is_told(tmp_path, spoil):
    path = kept_file(
        tmp_path,
        {FLEET: {"workloads": {"quick": {}}}}
        if spoil == "unfit"
        else {FLEET: {"tier": 1}}
        if spoil == "fixed"
        else CHANGES,
        ["fleet"] if spoil == "other scopes" else SCOPES,
    )

    async def check(net):
        assert (await net.ask(wanted("s1", "quick"))).status == 404
        assert (await net.ask(wanted("s2", "view"))).status == 200
        lines = [fields for event, fields in net.logs if event == "config" and "error" in fields]
        said_ = {
            "cut": "truncated or corrupt",
            "other scopes": "other scopes",
            "unfit": "settings.workloads.3",
            "fixed": "settings.tier: needs a restart",
        }
        assert len(lines) == 1 and said_[spoil] in lines[0]["error"]
        assert net.version() == 0 and net.program.live_config.follower.version.index == 0
        net.relay.fault = None
        await net.in_force(CHANGES)

    whole = Path(path).read_bytes()
    cuts = range(0, len(whole), 29) if spoil == "cut" else [None]
    for at in cuts:
        if at is not None:
            Path(path).write_bytes(whole[:at])
            with pytest.raises(stable_store.StableStoreError):
                stable_store.load(path)
    network(check, answer_ok, keep=path, before=silent_for_a_while)


def silent_for_a_while(relay: StandInRelay) -> None:
    relay.fault = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


def test_a_disk_that_fails_holds_nothing_up_and_is_said_once(tmp_path, monkeypatch):
    from lupinmill.config import driver

    monkeypatch.setattr(driver, "SAVE_RETRY_S", 0.01)
    full, save = [True], stable_store.save

    def failing(path, version, entries):
        if full[0]:
            raise OSError(28, "No space left on device")
        save(path, version, entries)

    monkeypatch.setattr(driver.stable_store, "save", failing)

    async def check(net):
        for at in range(3):
            await net.in_force({FLEET: {"instances": at + 2}})
        await anyio.sleep(0.1)
        lines = [more for event, more in net.logs if event == "config" and "cannot save" in more["text"]]
        assert len(lines) == 1 and "No space left" in lines[0]["error"]
        full[0] = False
        await until(lambda: net.program.live_config.watch.saved_index == 3)
        assert any(
            "saved the version in force after" in fields["text"]
            for event, fields in net.logs
            if event == "config"
        )
        assert stable_store.load(tmp_path / "kept")[0].index == 3

    network(check, answer_ok, keep=str(tmp_path / "kept"))


def test_cut_off_it_goes_on_with_what_it_has_and_catches_up(tmp_path):
    """The relay goes down and returns at the same address, with a history that advanced meanwhile."""

    async def check(net):
        await net.in_force(CHANGES)
        port = int(net.relay.address.split(":")[1])
        net.relay.scope.cancel()
        for at in range(5):
            net.relay.history.push({MINE: {"instances": at + 1}})
        await until(lambda: net.program.live_config.follower.failures >= 3)
        assert (await net.ask(wanted("s1", "quick"))).status == 200 and net.version() == 1
        async with anyio.create_task_group() as group:
            await group.start(net.relay.run, port)
            await until(lambda: net.version() == 6)
            assert net.program.settings.deployment.instances == 5
            assert net.program.settings.deployment.max_attempts == 3
            group.cancel_scope.cancel()

    network(check, answer_ok)


FAULTY_REPLIES = {
    "garbage": b"what is this\r\n\r\n",
    "no JSON": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{[)",
    "an older version": b'HTTP/1.1 200 OK\r\nContent-Length: 113\r\n\r\n{"index":0,"mark":"","snapshot":true,'
    b'"since":0,"since_mark":"","spread_ms":0,"entries":[]}                             ',
    "too large": b"HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n",
    "endless": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + 200 * (b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "cut": b"HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{",
    "no end of the head": b"HTTP/1.1 200 OK\r\nX-Pad: " + b"y" * 40_000,
}


@pytest.mark.parametrize("fault", FAULTY_REPLIES)
def test_a_relay_that_lies_is_dropped_and_another_is_asked(fault):
    async def main():
        with anyio.fail_after(15):
            good, bad, taken, lines = StandInRelay(), StandInRelay(), [], []
            bad.fault = FAULTY_REPLIES[fault]
            async with anyio.create_task_group() as group:
                await group.start(good.run)
                await group.start(bad.run)
                good.push({FLEET: {"instances": 4}})
                follower = Follower("n1", (bad.address, good.address), 1, 2_000_000, 100_000, Version(), {})
                follower.relays = [bad.address, good.address]
                follower.relay_states[bad.address].margin_us = 200_000
                store = BlockPool()
                watch = ConfigWatch(
                    follower,
                    ("fleet",),
                    store,
                    lambda v, entries: taken.append((v, entries)),
                    lambda event, **fields: lines.append(fields["text"]),
                )
                group.start_soon(watch.run)
                await until(lambda: taken)
                assert taken == [(good.history.version, {FLEET: {"instances": 4}})]
                assert bad.calls == 1 and any(bad.address in text for text in lines)
                await until(lambda: good.statuses[-1].in_force == good.history.version)
                group.cancel_scope.cancel()
            assert store.leased == 0

    anyio.run(main)


def test_one_that_dribbles_is_cut_at_the_end_of_the_call_and_a_new_ask_gives_the_old_one_up():
    async def main():
        with anyio.fail_after(15):
            relay, lines = StandInRelay(), []

            async def dribble(stream):
                async with stream:
                    try:
                        await stream.receive()
                        relay.calls += 1
                        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
                        while True:
                            await stream.send(b" ")
                            await anyio.sleep(0.02)
                    except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                        pass

            relay.serve = dribble
            async with anyio.create_task_group() as group:
                await group.start(relay.run)
                follower = Follower("n1", (relay.address,), 1, 0, 100_000, Version(), {})
                store = BlockPool()
                watch = ConfigWatch(
                    follower, (), store, lambda v, e: None, lambda event, **f: lines.append(f)
                )
                group.start_soon(watch.run)
                await until(lambda: relay.calls >= 2)
                assert follower.failures >= 1 and "silent" in lines[0]["text"]
                group.cancel_scope.cancel()
            assert store.leased == 0

    anyio.run(main)


def test_a_defect_in_taking_is_a_refusal_and_the_watch_goes_on():
    async def main():
        with anyio.fail_after(15):
            relay, lines, calls = StandInRelay(), [], []

            def take(version, entries):
                calls.append(version.index)
                if version.index == 1:
                    raise RuntimeError("planted")

            async with anyio.create_task_group() as group:
                await group.start(relay.run)
                relay.push({FLEET: {"instances": 4}})
                follower = Follower("n1", (relay.address,), 1, 2_000_000, 100_000, Version(), {})
                watch = ConfigWatch(
                    follower, (), BlockPool(), take, lambda event, **f: lines.append((event, f))
                )
                group.start_soon(watch.run)
                await until(lambda: follower.refused == 1)
                assert "RuntimeError" in follower.why and any(event == "task_failed" for event, _ in lines)
                relay.push({FLEET: {"instances": 5}})
                await until(lambda: follower.in_force.index == 2)
                group.cancel_scope.cancel()
            assert calls == [1, 2]

    anyio.run(main)


# --- processes -----------------------------------------------------------------------------------


class Process:
    """A sidecar process with an operators' file, and its log lines."""

    def __init__(self, tmp_path, table: dict, relay: str, number: int = 1) -> None:
        (tmp_path / "told.json").write_bytes(orjson.dumps(table))
        (tmp_path / "operator.toml").write_text(
            f'site = "x"\n[config]\nrelays = ["{relay}"]\nkeep = "{tmp_path}/kept"\nspread_s = 0.1\n'
        )
        self.path = tmp_path / f"log{number}"
        environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environ |= {
            "BALANCER_CONFIG": str(tmp_path / "told.json"),
            "TMPDIR": str(tmp_path),
            "BALANCER_OPERATOR_FILE": str(tmp_path / "operator.toml"),
        }
        with self.path.open("wb") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "lupinmill"], env=environ, stdout=out, stderr=out
            )

    def lines(self) -> list[dict]:
        return [orjson.loads(line) for line in self.path.read_bytes().splitlines() if line.startswith(b"{")]

    def event(self, name: str) -> dict | None:
        return next((line for line in self.lines() if line["event"] == name), None)

    def in_force(self, index: int) -> bool:
        return any(line.get("text") == f"version {index} in force" for line in self.lines())


def processes(tmp_path, check, *acts) -> None:
    """Runs `check(net, relay, begin)` and ends every process that it started."""
    net, begun = Net(list(acts)), []

    async def main() -> None:
        relay = StandInRelay()
        with anyio.fail_after(25):
            async with anyio.create_task_group() as group:
                await net.start(group)
                await group.start(relay.run)

                async def begin() -> Process:
                    begun.append(Process(tmp_path, net.table, relay.address, len(begun) + 1))
                    await until(lambda: begun[-1].event("started"))
                    net.address = begun[-1].event("started")["listen"]
                    return begun[-1]

                await check(net, relay, begin)
                group.cancel_scope.cancel()

    try:
        anyio.run(main)
    except BaseException:
        for one in begun:
            print("\n".join(str(line) for line in one.lines()[-10:]))
        raise
    finally:
        for one in begun:
            one.popen.kill()
            one.popen.wait()


def test_a_version_that_crosses_the_drain_loses_nothing(tmp_path):
    """SIGTERM with one request in progress; then a version with other settings and without its workload."""

    async def check(net, relay, begin):
        process, answers = await begin(), {}

        async def ask(name, workload_):
            answers[name] = await net.ask(wanted(name, workload_, "1.0"))

        async with anyio.create_task_group() as group:
            group.start_soon(ask, "old", "view")
            await until(lambda: net.stands[0].seen)
            process.popen.send_signal(signal.SIGTERM)
            await until(lambda: process.event("leaving"))
            relay.push({FLEET: {"workloads": {"view": None, "quick": workload()}}})
            await until(lambda: process.in_force(1))
            group.start_soon(ask, "new", "quick")
            group.start_soon(ask, "gone", "view")
        assert (answers["old"].status, answers["new"].status, answers["gone"].status) == (200, 200, 503)
        assert await anyio.to_thread.run_sync(process.popen.wait) == 0
        assert process.lines()[-1]["event"] == "stopped"

    processes(tmp_path, check, always(Answer(200, [], b"late"), 0.7))


def test_a_sighup_in_a_process_takes_other_settings_and_keeps_the_version(tmp_path):
    async def check(net, relay, begin):
        process = await begin()
        relay.push({FLEET: {"workloads": {"quick": workload()}}})
        await until(lambda: process.in_force(1))
        net.table["settings"] = settings(workloads=settings()["workloads"][:1])
        (tmp_path / "told.json").write_bytes(orjson.dumps(net.table))
        process.popen.send_signal(signal.SIGHUP)
        await until(lambda: process.event("reloaded"))
        assert (await net.ask(wanted("s1", "bid"))).status == 503
        assert (await net.ask(wanted("s2", "quick"))).status == 200
        assert (await net.ask(wanted("s3", "view"))).status == 200

    processes(tmp_path, check, answer_ok)


def test_the_next_process_of_an_upgrade_goes_by_the_kept_version_with_the_relay_silent(tmp_path):
    async def check(net, relay, begin):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            net.table["listen"] = "127.0.0.1:%d" % sock.getsockname()[1]
        old = await begin()
        relay.push(CHANGES)
        await until(lambda: old.in_force(1) and (tmp_path / "kept").exists())
        relay.fault = "silent"
        new = await begin()
        assert (await net.ask(wanted("s1", "quick"))).status == 200
        assert not new.in_force(1), "it was in force from the start"
        old.popen.send_signal(signal.SIGTERM)
        assert await anyio.to_thread.run_sync(old.popen.wait) == 0
        assert (await net.ask(wanted("s2", "quick"))).status == 200

    processes(tmp_path, check, answer_ok)


# --- the roster ----------------------------------------------------------------------------------

PEERS = """
[peers]
electors = ["n1", "n2", "n3"]
[peers.members.n1]
address = "127.0.0.1:{ports[0]}"
[peers.members.n2]
address = "127.0.0.1:{ports[1]}"
[peers.members.n3]
address = "127.0.0.1:{ports[2]}"
"""


def free_ports(count: int) -> list[int]:
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def test_the_roster_follows_the_version_in_force_and_its_electors_stay():
    ports = free_ports(5)

    async def check(net):
        def names() -> set[str]:
            return {entry.name for entry in net.program.peers.settings.roster}

        await until(lambda: net.program.peers.peer is not None)
        row = {"address": f"127.0.0.1:{ports[3]}", "zone": "z"}
        await net.in_force({Key("fleet", "member/n4"): row})
        assert names() == {"n1", "n2", "n3", "n4"}
        await net.in_force({Key("fleet", "member/n4"): row | {"address": f"127.0.0.1:{ports[4]}"}})
        assert net.program.peers.addresses["n4"] == ("127.0.0.1", ports[4])
        key = Key("fleet", "member/n2")
        assert "peers.electors: n2 is none" in await net.refused({key: {"gone": True}})
        assert names() == {"n1", "n2", "n3", "n4"} and net.version() == 2
        for value, why in (
            (row | {"zones": "z"}, "member/n5.zones: unknown; the nearest known key is zone"),
            ({"zone": "z"}, "member/n5: Object missing required field `address`"),
            ({"address": f"127.0.0.1:{ports[0]}"}, "peers.members.n5.address: n1 has it already"),
        ):
            assert why in await net.refused({key: None, Key("fleet", "member/n5"): value})
        assert "zones" in await net.refused(
            {
                Key("fleet", "member/n5"): None,
                Key("fleet", "zones"): {"map": {"z": {}}},
            }
        )
        await net.in_force({Key("fleet", "zones"): None, Key("fleet", "member/n4"): None})
        assert names() == {"n1", "n2", "n3"}

    network(check, answer_ok, file=PEERS.format(ports=ports))


def test_a_roster_changed_in_the_file_and_by_entries_is_that_of_both():
    ports = free_ports(5)

    async def check(net):
        def names() -> set[str]:
            return {entry.name for entry in net.program.peers.settings.roster}

        await net.in_force({Key("fleet", "member/n5"): {"address": f"127.0.0.1:{ports[4]}"}})
        net.file += f'[peers.members.n4]\naddress = "127.0.0.1:{ports[3]}"\n'
        net.program.reload()
        assert net.logs[-1][0] == "reloaded" and names() == {"n1", "n2", "n3", "n4", "n5"}
        net.file = net.file.replace(str(ports[3]), str(ports[4]))  # an entry uses that address
        net.program.reload()
        assert net.logs[-1][0] == "reload_refused" and "n4 has it already" in net.logs[-1][1]["error"]
        assert net.program.peers.addresses["n4"] == ("127.0.0.1", ports[3])
        net.file = net.file.replace("[peers]", "[peers]\nlease_s = 7.0")
        net.program.reload()
        assert net.logs[-1] == (
            "reload_refused",
            {"error": "these need a restart", "fields": ["peers.lease_s"]},
        )

    network(check, answer_ok, file=PEERS.format(ports=ports))
