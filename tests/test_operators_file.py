"""The operator's file: each fault is one line that names the key; without the file nothing is imported."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from bed import settings
from click.testing import CliRunner

from lupinmill.cli import peers as commands
from lupinmill.cli.main import root
from lupinmill.program import operators_file, process_settings
from lupinmill.terms import Deployment

EXAMPLE = Path(__file__).parent.parent / "deploy" / "operator.toml"
GOOD = EXAMPLE.read_text()


def written(tmp_path, text: str) -> str:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return str(path)


def changed(old: str, new: str) -> str:
    assert old in GOOD
    return GOOD.replace(old, new, 1)


CONFIG = """
[config]
relays = ["10.0.1.5:7500", "10.0.2.5:7500"]
"""


FAULTS = [
    ("peers.leases_s: unknown; the nearest known key is lease_s", changed("lease_s", "leases_s")),
    (
        "peers.members.front-1.adress: unknown; the nearest known key is address",
        changed('address = "10.0.1.11', 'adress = "10.0.1.11'),
    ),
    ("sight: unknown; the nearest known key is site", changed("site =", "sight =")),
    ("peers.lease_s: ", changed("6.0", "0.1")),
    ("peers.lease_s: ", changed("6.0", '"long"')),
    ("peers.members.front-1.address: wants an IPv4 address", changed("10.0.1.11:7400", "front-1.local:7400")),
    ("peers.members.front-2.address: front-1 has it already", changed("10.0.2.11:7400", "10.0.1.11:7400")),
    (
        "peers.electors: wants 3, 5 or 7",
        changed('["front-1", "front-2", "front-3"]', '["front-1", "front-2"]'),
    ),
    ("peers.electors: front-9 is none", changed('"front-3"]', '"front-9"]')),
    ("peers.keep: wants a whole path", changed("/var/lib", "var/lib")),
    ("peers.wants: moon is none", changed("lease_s", 'wants = ["moon"]\nlease_s')),
    ("peers: Object missing required field `members`", 'site = "x"\n[peers]\n'),
    ("site: wants a name", changed('"example"', '""')),
    ("zones.map.coast.spare: wants 0 up to 1", changed("spare = 0.2", "spare = 1.0")),
    (
        "zones.map.north.costs.moon: no such zone",
        changed("[zones.map.south]", "costs = { moon = 1.0 }\n[zones.map.south]"),
    ),
    (
        "zones.map.coast.sparse: unknown; the nearest known key is spare",
        changed("spare = 0.2", "sparse = 0.2"),
    ),
    (
        "peers.members.front-1.zone: north is none of zones.map",
        changed("[zones.map.north]", "[zones.map.nord]"),
    ),
    (
        "zones.workloads.view.leave_region: more than leave_zone",
        GOOD + "\n[zones.workloads.view]\nleave_zone = 0.1\nleave_region = 0.2\n",
    ),
    ("zones: wants peers.electors", changed('electors = ["front-1", "front-2", "front-3"]', "")),
    ("zones: wants [peers]", 'site = "x"\n[zones.map.a]\n'),
    ("config.relay: unknown; the nearest known key is relays", GOOD + CONFIG.replace("relays", "relay")),
    ("config: Object missing required field `relays`", GOOD + "\n[config]\n"),
    ("config.relays: wants 1 to 16 different addresses", GOOD + "\n[config]\nrelays = []\n"),
    ("config.relays: wants 1 to 16 different addresses", GOOD + CONFIG.replace("10.0.2.5", "10.0.1.5")),
    ("config.relays: wants an IPv4 address", GOOD + CONFIG.replace("10.0.2.5", "relay.local")),
    ("config.keep: wants a whole path", GOOD + CONFIG + 'keep = "kept"\n'),
    ("config.spread_s: wants 0.1 to 600", GOOD + CONFIG + "spread_s = 0\n"),
    ("config.service: a name has up to 64", GOOD + CONFIG + f'service = "{"x" * 65}"\n'),
    ("not valid UTF-8", None),
    ("Expected '=' after a key", GOOD + "\nabc"),
]


@pytest.mark.parametrize("line, text", FAULTS)
def test_a_fault_is_one_line_that_names_the_key_in_check_and_at_the_start(tmp_path, line, text):
    path = written(tmp_path, text or "")
    if text is None:
        Path(path).write_bytes(b"\xff\xfe")
    shown = CliRunner().invoke(root, ["check", path])
    assert shown.exit_code == 2 and shown.output.count("\n") == 1
    assert line in shown.output, shown.output
    with pytest.raises(process_settings.StartupError) as refused:
        process_settings.read_operator_file(path, "front-1", Deployment(seed=1))
    assert "\n" not in str(refused.value) and path in str(refused.value)


def test_the_program_refuses_to_start_with_one_line(tmp_path):
    config = tmp_path / "told.json"
    config.write_bytes(
        orjson.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()})
    )
    for name, text, says in (
        ("front-1", changed("lease_s", "leases_s"), b"peers.leases_s"),
        ("other", GOOD, b"no entry for this sidecar"),
    ):
        done = subprocess.run(
            [sys.executable, "-m", "lupinmill"],
            capture_output=True,
            timeout=20,
            check=False,
            env={
                "BALANCER_CONFIG": str(config),
                "BALANCER_OPERATOR_FILE": written(tmp_path, text),
                "BALANCER_NAME": name,
            },
        )
        assert done.returncode == 2 and done.stdout == b""
        assert done.stderr.count(b"\n") == 1 and says in done.stderr


def test_what_serves_without_the_file_imports_nothing_new():
    code = (
        "import sys, lupinmill.program.sidecar, lupinmill.__main__;"
        "print([m for m in sys.modules if m.split('.')[0] in ('msgspec', 'xxhash', 'click')"
        " or 'lupinmill.peers' in m or 'operators_file' in m"
        " or 'lupinmill.config' in m or 'live_config' in m])"
    )
    shown = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert shown.stdout.strip() == "[]"


def test_check_tells_what_follows(tmp_path):
    shown = CliRunner().invoke(root, ["check", str(EXAMPLE), "--name", "front-1"])
    assert shown.exit_code == 0
    for part in (
        "4 sidecars in 3 zones and 2 regions",
        "2 of 3 electors",
        "losing region west alone",
        "this sidecar, front-1: zone north",
        "must be a trusted one",
    ):
        assert part in shown.output
    off = CliRunner().invoke(root, ["check", written(tmp_path, 'site = "x"\n')])
    assert off.exit_code == 0 and "peers: off" in off.output
    single = CliRunner().invoke(root, ["check", written(tmp_path, changed("keep =", "# keep ="))])
    assert "gives no vote for 6.1 s" in single.output


def test_with_a_file_that_does_not_switch_it_on_nothing_of_configuration_is_imported(tmp_path):
    path = written(tmp_path, GOOD)
    code = (
        "import sys; from lupinmill.program import process_settings, sidecar;"
        "from lupinmill.terms import Deployment;"
        f"file = process_settings.read_operator_file({path!r}, 'front-1', Deployment(seed=1));"
        "assert file.config is None;"
        "print([m for m in sys.modules if 'lupinmill.config' in m or 'live_config' in m])"
    )
    shown = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert shown.stdout.strip() == "[]"


def test_check_tells_what_configuration_a_sidecar_watches(tmp_path):
    def lines(text: str, *more: str) -> str:
        shown = CliRunner().invoke(root, ["check", written(tmp_path, text), *more])
        assert shown.exit_code == 0, shown.output
        return shown.output

    assert "config: off" in lines(GOOD) and "config: off" in lines('site = "x"\n')
    both = lines(GOOD + CONFIG + 'service = "portal"\nkeep = "/var/kept"\n', "--name", "front-1")
    for part in (
        "2 relays (10.0.1.5:7500, 10.0.2.5:7500)",
        "watches fleet, region/west, zone/north, service/portal, sidecar/front-1",
        "kept in /var/kept",
    ):
        assert part in both, both
    assert "caution: no config.service" not in both and "only relay" not in both
    alone = lines('site = "x"\n' + CONFIG.replace(', "10.0.2.5:7500"', ""))
    for part in ("peers: off", "only relay", "no config.service", "no version is kept", "sidecar/NAME"):
        assert part in alone, alone


def test_relays_may_change_while_it_runs_and_what_a_sidecar_watches_may_not():
    def differs(old: str, new: str) -> list[str]:
        files = [operators_file.parse(__import__("tomllib").loads(text)) for text in (old, new)]
        return operators_file.changes_needing_restart(*files, "front-1")

    on = GOOD + CONFIG
    assert differs(on, on.replace("10.0.2.5", "10.0.2.6")) == []
    assert differs(GOOD, on) == ["config"] == differs(on, GOOD)
    assert differs(on, on + 'service = "portal"\n') == ["config.service"]
    assert differs(on, on + 'keep = "/var/kept"\n') == ["config.keep"]
    moved = on.replace('10.0.1.11:7400"\nzone = "north"', '10.0.1.11:7400"\nzone = "south"')
    assert "peers.members: zone or region of this sidecar" in differs(on, moved)
    with pytest.raises(operators_file.ConfigFileError, match="config: wants names of this sidecar"):
        file = operators_file.parse(__import__("tomllib").loads('site = "x"' + CONFIG))
        operators_file.check_against_platform(file, "", Deployment(seed=1))


def test_members_may_change_while_it_runs_and_little_else():
    old = operators_file.parse(__import__("tomllib").loads(GOOD))

    def differs(text: str) -> list[str]:
        return operators_file.changes_needing_restart(
            old, operators_file.parse(__import__("tomllib").loads(text)), "front-1"
        )

    more = '\n[peers.members.front-5]\naddress = "10.0.9.9:7400"\nzone = "south"\n'
    assert (
        differs(GOOD) == []
        and differs(GOOD + more) == []
        and differs(changed('"10.0.1.12:', '"10.0.1.13:')) == []
    )
    assert differs(changed("6.0", "7.0")) == ["peers.lease_s"]
    assert differs(changed('"10.0.1.11:7400"', '"10.0.1.19:7400"')) == ["peers.bind"]
    assert differs(changed('"example"', '"other"')) == ["site"]
    assert differs('site = "example"') == ["peers"]
    assert differs(changed("spare = 0.2", "spare = 0.3")) == ["zones"]
    moved = changed('10.0.1.11:7400"\nzone = "north"', '10.0.1.11:7400"\nzone = "south"')
    assert differs(moved) == ["peers.members.zone of this sidecar"]
    assert differs(changed("lease_s = 6.0", "live_count = true")) == ["peers.live_count"]


def test_a_workload_that_the_platform_does_not_tell_of_is_refused_at_the_start(tmp_path):
    path = written(tmp_path, GOOD + "\n[zones.workloads.moon]\nleave_zone = 0.1\n")
    with pytest.raises(
        process_settings.StartupError, match="zones.workloads.moon: the platform tells of no such workload"
    ):
        process_settings.read_operator_file(path, "front-1", Deployment(seed=1))
    with pytest.raises(process_settings.StartupError, match="zones: settings.family is mesh"):
        process_settings.read_operator_file(
            written(tmp_path, GOOD), "front-1", Deployment(seed=1, sidecar_per_client=True)
        )


TABLE = {
    "name": "m0",
    "status": "alive",
    "standing": "in doubt",
    "standing_s": 1.5,
    "late": 3,
    "sees": 2,
    "of": 3,
    "members": [
        {
            "name": "m1",
            "status": "alive",
            "since_s": 4.0,
            "by": "m1",
            "answered_s": 0.2,
            "zone": "z",
            "region": "",
            "elector": True,
        },
        {
            "name": "m2",
            "status": "dead",
            "since_s": 2.0,
            "by": "m1",
            "answered_s": None,
            "zone": "",
            "region": "",
            "elector": False,
        },
    ],
    "elector": {
        "votes": False,
        "registers": [
            {"topic": "rehearsal", "epoch": 4, "holder": "m1", "runs_s": 1.0, "version": 2},
        ],
    },
    "leases": [{"topic": "rehearsal", "epoch": 0, "held": False, "runs_s": 0.0, "holder": "m1"}],
    "decisions": [{"topic": "rehearsal", "epoch": 4, "version": 2, "bytes": 9}],
    "dropped": {"stranger": 2},
    "datagrams": {"refused": {"address": 7}},
}


def test_show_says_it_in_words_a_clerk_understands():
    text = "\n".join(commands.describe(TABLE))
    for part in (
        "m0 is in doubt, for 1.5 s, sees 2 of 3",
        "m1  ",
        "there for 4.0 s",
        "failed for 2.0 s",
        "gives no vote yet",
        "m1 under epoch 4",
        "m1 has it",
        "decision 2 on rehearsal",
        "Dropped: 7 address, 2 stranger.",
    ):
        assert part in text, text


def test_watch_tells_each_change_once():
    after = orjson.loads(orjson.dumps(TABLE))
    assert commands.differences(TABLE, after) == []
    after["standing"], after["members"][1]["status"] = "together", "alive"
    after["leases"][0] |= {"held": True, "epoch": 5}
    after["decisions"][0]["version"] = 3
    assert commands.differences(TABLE, after) == [
        "m0 is together, was in doubt",
        "m2 is alive, was dead (told by m1)",
        "m0 holds rehearsal under epoch 5",
        "decision 3 on rehearsal, epoch 4",
    ]


def test_a_sidecar_that_does_not_answer_is_one_line():
    shown = CliRunner().invoke(root, ["peers", "show", "--at", "127.0.0.1:1"])
    assert shown.exit_code == 2 and shown.output.count("\n") == 1
