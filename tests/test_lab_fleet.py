"""The lab's fleets: scenarios, both drivers, the HTML report and the command."""

import asyncio

import msgspec
import pytest
from click.testing import CliRunner

from lupinmill.cli.main import root
from lupinmill.lab import fleet, fleet_measure, fleet_report
from lupinmill.lab.fleet import Event, Fault, Fleet, FleetError, FleetResult, Network, NetworkConditions
from lupinmill.lab.fleet_streams import StreamProxy
from lupinmill.lab.fleet_virtual import VirtualFleet


def test_all_that_is_shipped_is_good():
    scenario = {name: fleet.load(name) for name in fleet.shipped_fleets()}
    assert {"calm", "halves", "storm", "forgetful"} <= set(scenario)


@pytest.mark.parametrize(
    "table, says",
    [
        ({"members": 1}, "members: wants 2"),
        ({"electors": 4}, "electors: wants 0, 3"),
        ({"fault": [{"kind": "kill", "at": 1, "members": [9]}]}, "fault.0.members"),
        ({"fault": [{"kind": "kill", "at": 99}]}, "fault.0.at"),
        ({"fault": [{"kind": "fire", "at": 1}]}, "fault"),
        ({"colour": "red"}, "colour"),
    ],
)
def test_a_bad_scenario_says_where(table, says):
    with pytest.raises((FleetError, msgspec.ValidationError), match=says):
        fleet.parse_fleet({"title": "x", "seconds": 5, "members": 5} | table)


def test_one_seed_gives_one_run_and_another_one_another():
    scenario = fleet.load("calm")
    first, again, other = (VirtualFleet(scenario, seed).play() for seed in (3, 3, 4))
    assert msgspec.json.encode(first) == msgspec.json.encode(again) != msgspec.json.encode(other)


def test_the_weather_is_what_the_faults_say():
    scenario = Fleet("x", 10, 4, network=Network(loss=0.25, double=0.5))
    network = NetworkConditions(scenario, 1)
    copies = [len(network.delays("m0", "m1")) for _ in range(4_000)]
    assert abs(sum(copies) / 4_000 - 0.75 * 1.5) < 0.06
    network.begin(cut := Fault("cut", 0.0, members=[0], to=[1]))
    assert not any(network.delays("m0", "m1") for _ in range(50))
    assert any(network.delays("m1", "m0") for _ in range(50))
    assert any(network.delays("m0", "m2") for _ in range(50))
    network.end(cut)
    network.begin(Fault("partition", 0.0, groups=[[0, 1]]))
    assert any(network.delays("m0", "m1") for _ in range(50))
    assert not any(network.delays("m2", "m3") for _ in range(50)), "a member of no group is isolated"


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data.upper())
    writer.close()


def with_stream_proxy(check):
    """Runs `check` with an upper-casing server behind a proxy from m0 to m1."""

    async def main():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        network = NetworkConditions(Fleet("x", 10, 3), 1)
        proxy = StreamProxy(network, "m0", "m1", server.sockets[0].getsockname()[:2])
        host, _, port = (await proxy.open()).rpartition(":")
        try:
            await asyncio.wait_for(
                check(network, proxy, lambda: asyncio.open_connection(host, int(port))), 20
            )
        finally:
            await proxy.close()
            server.close()
        assert not proxy.tasks and not proxy.writers

    asyncio.run(main())


def test_bytes_wait_behind_a_cut_and_go_on_when_it_heals():
    async def check(network, proxy, connect):
        reader, writer = await connect()
        writer.write(b"one")
        assert await reader.read(10) == b"ONE"
        network.begin(cut := Fault("cut", 0.0, members=[1], to=[0]))
        writer.write(b"two")  # it arrives; the answer does not come back
        while proxy.passed[0] < 6:
            await asyncio.sleep(0.01)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(10), 0.2)
        network.end(cut)
        assert await reader.read(10) == b"TWO"
        writer.write_eof()
        assert await reader.read(10) == b""
        writer.close()

    with_stream_proxy(check)


def test_a_connection_begun_behind_a_cut_stands_until_it_heals():
    async def check(network, proxy, connect):
        network.begin(cut := Fault("partition", 0.0, groups=[[0], [1, 2]]))
        reader, writer = await connect()
        writer.write(b"late")
        await asyncio.sleep(0.1)
        assert proxy.passed == [0, 0]
        network.end(cut)
        assert await reader.read(10) == b"LATE"
        writer.close()

    with_stream_proxy(check)


def test_a_reset_breaks_both_ends():
    async def check(network, proxy, connect):
        reader, writer = await connect()
        writer.write(b"one")
        assert await reader.read(10) == b"ONE"
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(10)
        writer.close()

    with_stream_proxy(check)


def test_strips_tell_standings_lives_and_leases():
    events = [
        Event(1.0, "m0", "life", state="started"),
        Event(2.0, "m0", "standing", state="together"),
        Event(3.0, "m0", "lease", "rehearsal", "taken", 4),
        Event(5.0, "m0", "lease", "rehearsal", "ended", 4),
        Event(6.0, "m0", "lease", "rehearsal", "taken", 5),
        Event(7.0, "m0", "life", state="killed"),
    ]
    assert fleet_report.state_intervals(events, "m0", 9.0) == [
        (0.0, 1.0, "down"),
        (1.0, 2.0, "alone"),
        (2.0, 7.0, "together"),
        (7.0, 9.0, "down"),
    ]
    assert fleet_report.lease_intervals(events, "m0", 9.0) == [(3.0, 5.0, 4), (6.0, 7.0, 5)]
    fleet_result = FleetResult(
        Fleet("a <title>", 9.0, 2), "virtual", 1, events, {"x": 1.0}, ["broken & told"]
    )
    page = fleet_report.page(fleet_result)
    assert (
        "<svg" in page
        and "a &lt;title&gt;" in page
        and "broken &amp; told" in page
        and "http" not in page[:600]
    )


def test_the_command_plays_draws_and_refuses(tmp_path):
    page, path = tmp_path / "x.html", tmp_path / "x.json"
    result = CliRunner().invoke(root, ["lab", "fleet", "calm", "--html", str(page), "--json", str(path)])
    assert result.exit_code == 0 and "agreed_at_end 1" in result.output and "<svg" in page.read_text()
    assert msgspec.json.decode(path.read_bytes(), type=FleetResult).driver == "virtual"
    bad = CliRunner().invoke(root, ["lab", "fleet", "no-such"])
    assert bad.exit_code == 2 and "shipped are" in bad.output and bad.output.count("\n") == 1
    assert CliRunner().invoke(root, ["lab", "run", "calm", "--peers"]).exit_code == 2


def test_explore_says_how_far_it_went_and_replays():
    result = CliRunner().invoke(root, ["lab", "explore", "--departures", "0", "--walks", "3"])
    assert result.exit_code == 0 and "all schedules with up to 0 departures" in result.output
    replayed = CliRunner().invoke(root, ["lab", "explore", "--replay", "wait 0; deliver 0"])
    assert replayed.exit_code == 0 and "nothing goes wrong" in replayed.output


def test_a_table_by_size_has_a_row_for_each():
    lines = []
    found = fleet_measure.table(["death", "5% paused"], [6], 2, 10.0, 2, lines.append)
    assert len(lines) == 2 and "theory" in lines[0]
    assert all(0 < row["first_s"] <= row["all_s"] < 6 for row in found["death", 6])
    assert all(row["agreed_at_end"] == 1 for row in found["5% paused", 6])


def test_real_processes_play_a_scenario_under_load(tmp_path):
    """Three sidecars that know each other serve a small site: every request is answered and no rule is
    broken."""
    result = CliRunner().invoke(
        root,
        ["lab", "run", "small-site", "--sockets", "--peers", "--quiet", "--set", "sidecars.count=3",
         "--set", "seconds=4", "--json", str(tmp_path / "x.json")],
    )  # fmt: skip
    assert "all four rules kept" in result.output and "unanswered 0" in result.output, result.output
