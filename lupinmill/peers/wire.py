"""What sidecars say to one another: msgspec structs as msgpack, one datagram each. Pure.

A datagram is `[version, site, body, notes]`. Structs are arrays, so a later version may add fields at an end
and is still read by this one; another version number, site or shape is refused. Every length has a bound
here, so what decodes can be kept."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

VERSION = 1
MAX_DATAGRAM_BYTES = 1_200  # bytes of a datagram
MAX_UPDATES = 24  # on the members, in one datagram
MAX_DECISION_BYTES = 700  # bytes of a decision
MAX_FEATURE_BYTES = 1_000  # bytes that a feature says in one datagram
PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - 60  # bytes for the notes and the body; the rest is their frame

Counter = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
FeaturePayload = Annotated[bytes, Meta(max_length=MAX_FEATURE_BYTES)]
DecisionBody = Annotated[bytes, Meta(max_length=MAX_DECISION_BYTES)]
InstanceId = Annotated[int, Meta(ge=0, le=2**62)]


class Status(IntEnum):
    """Of one member as another holds it. Of two with one incarnation the later in this order goes before."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class MemberUpdate(Struct, array_like=True, frozen=True):
    """One member by another's word."""

    name: Name
    status: Status
    incarnation: Counter
    source: Name  # who found it so


class Ping(Struct, array_like=True, tag="p", frozen=True):
    serial: Counter
    status: Status  # of the sender, by its own word
    incarnation: Counter
    known_status: Status  # what the sender holds of who is asked, so that it can refute it
    known_incarnation: Counter
    digest: Counter  # of who is present in the sender's view


class Ack(Struct, array_like=True, tag="a", frozen=True):
    serial: Counter
    status: Status
    incarnation: Counter
    known_status: Status
    known_incarnation: Counter
    digest: Counter


class PingRequest(Struct, array_like=True, tag="q", frozen=True):
    """Ping `name` for me, I don't hear it."""

    serial: Counter
    name: Name


class IndirectAck(Struct, array_like=True, tag="r", frozen=True):
    """What came of an `Ask`: it answered, or (`answered` false) it did not, but the helper is there."""

    serial: Counter
    name: Name
    answered: bool
    incarnation: Counter


class TopicProgress(Struct, array_like=True, frozen=True):
    """How far things have gone on a topic, as far as the sender ever heard, and what it goes by itself."""

    topic: Name
    epoch: Counter
    version: Counter
    decided: Counter  # version that the sender goes by; 0: none


class Table(Struct, array_like=True, tag="t", frozen=True):
    """Part of the sender's whole table, in the notes; `wanted`: send yours from `at` on."""

    wanted: bool
    position: Counter
    progress: Annotated[list[TopicProgress], Meta(max_length=16)]


class TopicState(Struct, array_like=True, frozen=True):
    """The value of one register: who holds the lease on a topic, and the newest decision on it."""

    epoch: Counter = 0  # grows with each holder: the fencing token
    holder: Annotated[str, Meta(max_length=64)] = ""
    instance_id: InstanceId = 0  # of the holder's process
    lease: Counter = 0  # microseconds from acceptance that the lease runs at an elector
    version: Counter = 0  # of the decision; grows by one
    body: DecisionBody = b""


class Ballot(Struct, array_like=True, frozen=True, order=True):
    number: Counter = 0
    name: Annotated[str, Meta(max_length=96)] = ""  # of the asking process: name and life, never used again


class Prepare(Struct, array_like=True, tag="P", frozen=True):
    topic: Name
    ballot: Ballot


class Promise(Struct, array_like=True, tag="Q", frozen=True):
    topic: Name
    ballot: Ballot
    instance_id: InstanceId  # of the elector: only this life may accept under this promise
    accepted: Ballot
    value: TopicState
    remaining: Counter  # microseconds that the lease in `value` still runs by the elector's clock


class Accept(Struct, array_like=True, tag="A", frozen=True):
    topic: Name
    ballot: Ballot
    instance_id: InstanceId  # of the elector that promised
    value: TopicState


class Accepted(Struct, array_like=True, tag="B", frozen=True):
    topic: Name
    ballot: Ballot
    instance_id: InstanceId


class Nack(Struct, array_like=True, tag="N", frozen=True):
    """A ballot came too late; `highest` is what was promised. `silent`: the elector gives no vote yet."""

    topic: Name
    ballot: Ballot
    promised: Ballot
    abstains: bool


class RecallRequest(Struct, array_like=True, tag="R", frozen=True):
    """An elector that forgot asks another for what it holds; who answers is bound by a higher promise
    first."""

    instance_id: InstanceId
    round: Counter


class RecallReply(Struct, array_like=True, tag="S", frozen=True):
    instance_id: InstanceId  # of who asked, ...
    round: Counter  # ... and in which try
    has_memory: bool  # false: it forgot as well, and its word counts only where too few remember
    forgotten_for: Counter  # for how long it has not known by now, microseconds
    registers: Annotated[list[tuple[Name, Ballot, Ballot, TopicState]], Meta(max_length=16)]
    last: bool  # no more parts come
    part: Counter


class DecisionMade(Struct, array_like=True, tag="M", frozen=True):
    """A decision that a majority has accepted, by the sender's word."""

    topic: Name
    epoch: Counter
    version: Counter
    body: DecisionBody


class ConfirmRequest(Struct, array_like=True, tag="C", frozen=True):
    """Has this elector accepted decision `version` with that body?"""

    topic: Name
    version: Counter
    body_crc: Counter  # CRC-32 of the body


class ConfirmReply(Struct, array_like=True, tag="D", frozen=True):
    """It has, and holds it now."""

    topic: Name
    version: Counter
    body_crc: Counter


class FeatureMessage(Struct, array_like=True, tag="x", frozen=True):
    """What a feature that goes by peers says to the same feature of another member. It may be lost,
    doubled and late; the feature reads its words itself."""

    topic: Name
    payload: FeaturePayload


Body = (
    Ping
    | Ack
    | PingRequest
    | IndirectAck
    | Table
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Nack
    | RecallRequest
    | RecallReply
    | DecisionMade
    | ConfirmRequest
    | ConfirmReply
    | FeatureMessage
)


class Datagram(Struct, array_like=True, frozen=True):
    version: int
    site: Annotated[int, Meta(ge=0, lt=2**32)]
    body: Body
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)]


class InvalidDatagram(Exception):
    """Not for this sidecar; the text says why, in one word that is counted."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def site_hash(name: str) -> int:
    return crc32(name.encode())


def encode(site: int, body: Body, updates: list[MemberUpdate]) -> bytes:
    """At most `LARGEST` bytes: notes that find no room are left out, the last ones first."""
    while True:
        data = ENCODER.encode(Datagram(VERSION, site, body, updates[:MAX_UPDATES]))
        if len(data) <= MAX_DATAGRAM_BYTES or not updates:
            return data
        updates = updates[: min(len(updates), MAX_UPDATES) * 3 // 4]


def decode(site: int, data: bytes) -> Datagram:
    """Raises Foreign."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagram("large")
    try:
        datagram = DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidDatagram("garbled") from error
    if datagram.version != VERSION:
        raise InvalidDatagram("version")
    if datagram.site != site:
        raise InvalidDatagram("site")
    return datagram
