"""The two topologies, shared sidecars and one sidecar per client, are chosen by the settings.

Unusable values are refused. Settings without effect in a topology are ignored (test_settings_served.py)."""

import subprocess
import sys

import orjson
import pytest
from bed import Net, on_network, settings, wanted
from endpoint_acts import fine

from lupinmill import terms as t
from lupinmill.protocol import lists
from lupinmill.protocol import settings as protocol_settings

LIMITS = settings()["limits"]
PER_CLIENT_LIMITS = LIMITS | {"may-duplicate": False, "probes": False, "streams-per-conn": 100}
PRICES = {"cross-zone": 0.1, "connection": 0.05}
PER_CLIENT = {
    "family": "mesh",
    "limits": PER_CLIENT_LIMITS,
    "load-report": {"how": "off", "fields": []},
    "weights": "nominal",
    "family-info": {"warm-keys": True},
    "locality": "z",
    "areas": ["z", "y"],
    "prices": PRICES,
}


def fields(table: dict) -> dict[str, str]:
    return protocol_settings.flatten(table)


def test_defaults_are_the_old_shape():
    d = protocol_settings.deployment(fields(settings()))
    assert not (
        d.sidecar_per_client or d.warm_keys or d.few_connections or d.weights_tell_speed or d.crossing_price
    )
    protocol_settings.check(fields(settings()))


def test_the_new_shape_is_read_from_its_settings():
    protocol_settings.check(fields(settings(**PER_CLIENT)))
    d = protocol_settings.deployment(fields(settings(**PER_CLIENT)))
    assert (d.sidecar_per_client, d.zone, d.crossing_price, d.warm_keys) == (True, "z", 0.1, True)
    assert d.few_connections and d.weights_tell_speed and not d.hedging_allowed


STAR = {"name": "star", "contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "repeatable"}
UNUSABLE = [
    ("family", PER_CLIENT | {"family": "meshed"}),
    ("weights", PER_CLIENT | {"weights": "heavy"}),
    ("family-info.warm-keys", PER_CLIENT | {"family-info": {"warm-keys": "often"}}),
    ("limits.streams-per-conn", PER_CLIENT | {"limits": PER_CLIENT_LIMITS | {"streams-per-conn": 0}}),
    ("prices.cross-zone", PER_CLIENT | {"prices": PRICES | {"cross-zone": "much"}}),
    ("prices.connection", PER_CLIENT | {"prices": PRICES | {"connection": -1}}),
    ("prices.connection", PER_CLIENT | {"prices": PRICES | {"connection": "nan"}}),
    ("invariants.dropped-stay-open", {"invariants": {"dropped-stay-open": "perhaps"}}),
    ("workloads.0.confined-to", {"workloads": [STAR | {"confined-to": ["n", "moon"]}], "areas": ["n"]}),
    ("workloads.0.bound-to", {"workloads": [STAR | {"bound-to": ["huge"]}], "kinds": ["big", "small"]}),
    ("locality", PER_CLIENT | {"locality": ""}),
    ("locality", PER_CLIENT | {"locality": "x"}),
]


@pytest.mark.parametrize("key, more", UNUSABLE)
def test_an_unusable_value_is_refused_and_its_key_named(key, more):
    with pytest.raises(ValueError, match=f"settings.{key}: "):
        protocol_settings.check(fields(settings(**more)))


@pytest.mark.parametrize("key, more", [UNUSABLE[0], UNUSABLE[3], UNUSABLE[-2]])
def test_the_program_says_so_in_one_line_and_serves_nothing(tmp_path, key, more):
    path = tmp_path / "told.json"
    table = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings(**more)}
    path.write_bytes(orjson.dumps(table))
    done = subprocess.run(
        [sys.executable, "-m", "lupinmill"],
        env={"BALANCER_CONFIG": str(path)},
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == b""
    assert done.stderr.count(b"\n") == 1 and f"settings.{key}: ".encode() in done.stderr


def test_the_real_sidecar_keeps_placement():
    """A bound workload goes to endpoints in its zone alone, and is denied when those are down."""

    async def check(net: Net):
        for at in range(6):
            assert (await net.ask(wanted(f"s{at}", "star"))).status == 200
        stars = [[request for request in stand.seen if b"star" in request.target] for stand in net.stands]
        assert [len(seen) for seen in stars] == [0, 0, 6]
        update = {"index": 9, "endpoints": [net.discovery.rows[2] | {"status": "DRAINING"}]}
        net.program.directory.update(lists.parse(update), t.ListKind.CHANGES)
        assert (await net.ask(wanted("s9", "star", "0.4"))).status == 503
        assert (await net.ask(wanted("s10"))).status == 200

    class Zoned(Net):
        async def start(self, group) -> None:
            await super().start(group)
            for row in (self.discovery.rows[2], self.table["known"]["endpoints"][2]):
                row["zone"] = "north"

    table = settings()
    star = table["workloads"][0] | {"name": "star", "confined-to": ["north"]}
    workloads = [*table["workloads"], star]
    on_network(check, *[fine] * 3, net_of=Zoned, workloads=workloads, areas=["z", "north"])


def test_a_sidecar_beside_its_client_serves_and_tells_the_module_keys_and_weights():
    async def check(net: Net):
        for at in range(12):
            answer = await net.ask(wanted(f"s{at}", more=f"Req-Key: week{at % 3}\r\n"))
            assert answer.status == 200
        keys = [event.key for event in net.events if isinstance(event, t.RequestArrived)]
        assert keys == [f"week{at % 3}" for at in range(12)]
        assert not any(isinstance(event, t.ProbeEnded) for event in net.events)
        states = net.program.engine.sidecar.dispatcher.endpoint_states.values()
        assert sum(state.selected for state in states) <= 4 < len(states)
        overlong = await net.ask(wanted("s99", more=f"Req-Key: {'k' * 201}\r\n"))
        assert overlong.status == 400

    on_network(check, *[fine] * 8, **PER_CLIENT)


@pytest.mark.parametrize(
    "weight, expected", [(2.5, 2.5), (3, 3.0), (0, 1.0), (-1, 1.0), ("x", 1.0), (None, 1.0)]
)
def test_a_weight_that_is_no_size_counts_as_one(weight, expected):
    row = {"name": "e0", "address": "127.0.0.1:1", "status": "SERVING", "weight": weight}
    assert lists.parse({"index": 1, "endpoints": [row]}).entries[0].weight == expected
