"""The messages between sidecars: msgspec structs as msgpack, one per datagram. No I/O.

A datagram is `[version, site, body, updates]`. Structs are encoded as arrays, so a later version may append
fields and this one still reads them; another version number, site or shape is rejected. Every length is
bounded here, so whatever decodes is safe to store."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

VERSION = 1
MAX_DATAGRAM_BYTES = 1_200
MAX_UPDATES = 24  # member updates per datagram
MAX_DECISION_BYTES = 700
MAX_FEATURE_BYTES = 1_000  # payload of a feature message
PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - 60  # for the body and the updates; the rest is framing

Counter = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
FeaturePayload = Annotated[bytes, Meta(max_length=MAX_FEATURE_BYTES)]
DecisionBody = Annotated[bytes, Meta(max_length=MAX_DECISION_BYTES)]
InstanceId = Annotated[int, Meta(ge=0, le=2**62)]


class Status(IntEnum):
    """The status of a member in another member's view. At the same incarnation the higher value wins."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class MemberUpdate(Struct, array_like=True, frozen=True):
    """The status of a member, as reported by another member."""

    name: Name
    status: Status
    incarnation: Counter
    source: Name  # member that first reported the status


class Ping(Struct, array_like=True, tag="p", frozen=True):
    serial: Counter
    status: Status  # the sender's own
    incarnation: Counter
    known_status: Status  # the receiver's status in the sender's view, so that it can refute it
    known_incarnation: Counter
    digest: Counter  # of the present members in the sender's view


class Ack(Struct, array_like=True, tag="a", frozen=True):
    serial: Counter
    status: Status
    incarnation: Counter
    known_status: Status
    known_incarnation: Counter
    digest: Counter


class PingRequest(Struct, array_like=True, tag="q", frozen=True):
    """Asks a helper to ping `name`, which sent the sender no ack (ping-req in SWIM)."""

    serial: Counter
    name: Name


class IndirectAck(Struct, array_like=True, tag="r", frozen=True):
    """The reply to a `PingRequest`; with `answered` false, a nack: the helper got no ack either."""

    serial: Counter
    name: Name
    answered: bool
    incarnation: Counter


class TopicProgress(Struct, array_like=True, frozen=True):
    """The highest epoch and version of a topic that the sender knows, and the version that it follows."""

    topic: Name
    epoch: Counter
    version: Counter
    decided: Counter  # version that the sender follows; 0: none


class Table(Struct, array_like=True, tag="t", frozen=True):
    """A part of the sender's member table, in the updates; with `wanted`, a request for the receiver's."""

    wanted: bool
    position: Counter
    progress: Annotated[list[TopicProgress], Meta(max_length=16)]


class TopicState(Struct, array_like=True, frozen=True):
    """The value of a register: the holder of the lease on a topic, and the newest decision on it."""

    epoch: Counter = 0  # fencing token; grows with each holder
    holder: Annotated[str, Meta(max_length=64)] = ""
    instance_id: InstanceId = 0  # of the holder's process
    lease: Counter = 0  # microseconds that the lease runs at an elector, from its acceptance
    version: Counter = 0  # of the decision; grows by one with each
    body: DecisionBody = b""


class Ballot(Struct, array_like=True, frozen=True, order=True):
    number: Counter = 0
    name: Annotated[str, Meta(max_length=96)] = ""  # proposer and its instance ID; unique to a process


class Prepare(Struct, array_like=True, tag="P", frozen=True):
    topic: Name
    ballot: Ballot


class Promise(Struct, array_like=True, tag="Q", frozen=True):
    topic: Name
    ballot: Ballot
    instance_id: InstanceId  # of the elector; only this process may accept under the promise
    accepted: Ballot
    value: TopicState
    remaining: Counter  # microseconds until the lease in `value` expires, by the elector's clock


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
    """The ballot is lower than the promised one, or the elector abstains as it lost its memory."""

    topic: Name
    ballot: Ballot
    promised: Ballot
    abstains: bool


class RecallRequest(Struct, array_like=True, tag="R", frozen=True):
    """An elector without memory asks another one for its state. The other raises its promises before it
    answers."""

    instance_id: InstanceId
    round: Counter


class RecallReply(Struct, array_like=True, tag="S", frozen=True):
    instance_id: InstanceId  # of the elector that asked
    round: Counter  # of its request
    has_memory: bool  # false: the sender lost its memory too, and counts only if too few remember
    forgotten_for: Counter  # microseconds for which it has been without memory
    registers: Annotated[list[tuple[Name, Ballot, Ballot, TopicState]], Meta(max_length=16)]
    last: bool
    part: Counter


class DecisionMade(Struct, array_like=True, tag="M", frozen=True):
    """A decision that a majority has accepted, as claimed by the sender."""

    topic: Name
    epoch: Counter
    version: Counter
    body: DecisionBody


class ConfirmRequest(Struct, array_like=True, tag="C", frozen=True):
    """Asks an elector whether it has accepted decision `version` with that body."""

    topic: Name
    version: Counter
    body_crc: Counter  # CRC-32


class ConfirmReply(Struct, array_like=True, tag="D", frozen=True):
    """The elector has accepted the decision, and holds it now."""

    topic: Name
    version: Counter
    body_crc: Counter


class FeatureMessage(Struct, array_like=True, tag="x", frozen=True):
    """A message between the same features of two members. It may be lost, duplicated or late; the feature
    decodes the payload itself."""

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
    """The datagram is not acceptable here; the text is the one-word cause that is counted."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def site_hash(name: str) -> int:
    return crc32(name.encode())


def encode(site: int, body: Body, updates: list[MemberUpdate]) -> bytes:
    """Encodes at most `MAX_DATAGRAM_BYTES`; updates that don't fit are dropped from the end."""
    while True:
        data = ENCODER.encode(Datagram(VERSION, site, body, updates[:MAX_UPDATES]))
        if len(data) <= MAX_DATAGRAM_BYTES or not updates:
            return data
        updates = updates[: min(len(updates), MAX_UPDATES) * 3 // 4]


def decode(site: int, data: bytes) -> Datagram:
    """Raises InvalidDatagram."""
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
