"""The messages between sidecars: sizes, versions, and arbitrary bytes."""

import os
import random

import pytest
from test_peers_members import random_message

from lupinmill.peers import wire
from lupinmill.peers.wire import InvalidDatagram, MemberUpdate, Status

SITE = wire.site_hash("here")
PING = wire.Ping(7, Status.ALIVE, 3, Status.SUSPECT, 2, 12345)


def test_what_is_encoded_is_read_back():
    rng = random.Random(3)
    for _ in range(3_000):
        received = random_message(rng)
        decoded = wire.decode(SITE, wire.encode(SITE, received.body, received.updates))
        assert (decoded.body, decoded.updates) == (received.body, received.updates)


def test_a_datagram_is_never_larger_than_agreed():
    notes = [
        MemberUpdate("n" * 63 + str(index % 10), Status.DEAD, 2**52 + index, "b" * 64) for index in range(24)
    ]
    data = wire.encode(SITE, PING, notes)
    assert len(data) <= wire.MAX_DATAGRAM_BYTES and 0 < len(wire.decode(SITE, data).updates) < 24
    topic = wire.TopicState(2**53, "h" * 64, 2**62, 2**53, 2**53, bytes(wire.MAX_DECISION_BYTES))
    ballot = wire.Ballot(2**53, "n" * 96)
    for body in (
        wire.Promise("t" * 64, ballot, 2**62, ballot, topic, 2**53),
        wire.Accept("t" * 64, ballot, 2**62, topic),
        wire.RecallReply(2**62, 2**53, True, 2**53, [("t" * 64, ballot, ballot, topic)], True, 7),
        wire.DecisionMade("t" * 64, 2**53, 2**53, bytes(wire.MAX_DECISION_BYTES)),
    ):
        assert len(wire.encode(SITE, body, [])) <= wire.MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    "data, cause",
    [
        (b"", "garbled"),
        (b"\x00" * 1201, "large"),
        (b"\xc1" * 40, "garbled"),
        (b"\x91" * 1100, "garbled"),
        (wire.encode(wire.site_hash("there"), PING, []), "site"),
        (wire.ENCODER.encode(wire.Datagram(2, SITE, PING, [])), "version"),
        (wire.ENCODER.encode([1, SITE, ["p", -1, 1, 0, 1, 0, 0], []]), "garbled"),
        (wire.ENCODER.encode([1, SITE, ["p", 1, 9, 0, 1, 0, 0], []]), "garbled"),
        (wire.ENCODER.encode([1, SITE, ["p", 1, 1, 0, 1, 0, 0], [["", 1, 0, "a"]]]), "garbled"),
        (wire.ENCODER.encode([1, SITE, ["p", 1, 1, 0, 1, 0, 0], [["a", 1, 0, "a"]] * 25]), "garbled"),
    ],
)
def test_what_can_not_be_read_is_told_apart_by_one_word(data, cause):
    with pytest.raises(InvalidDatagram, match=cause):
        wire.decode(SITE, data)


def test_a_later_version_may_add_fields_at_an_end():
    data = wire.ENCODER.encode(
        [1, SITE, ["p", 7, 1, 3, 2, 2, 12345, "more"], [["a", 1, 0, "b", 5]], "and more"]
    )
    decoded = wire.decode(SITE, data)
    assert decoded.body == PING and decoded.updates == [MemberUpdate("a", Status.ALIVE, 0, "b")]


def test_bytes_of_any_kind_raise_nothing_else():
    """Seeded fuzzing: valid datagrams with flipped bits, truncated or joined, and noise. FUZZ=1000000 runs
    a million of them."""
    rng, count = random.Random(5), int(os.environ.get("FUZZ", "100000"))
    good = [wire.encode(SITE, (received := random_message(rng)).body, received.updates) for _ in range(200)]
    read = 0
    for index in range(count):
        data = bytearray(good[index % 200])
        kind = index % 4
        if kind == 0:
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        elif kind == 1:
            del data[rng.randrange(len(data)) :]
        elif kind == 2:
            data += good[rng.randrange(200)]
        else:
            data = bytearray(rng.randbytes(rng.randrange(60)))
        try:
            wire.decode(SITE, bytes(data))
            read += 1
        except InvalidDatagram:
            pass
    assert 0 < read < count // 2
