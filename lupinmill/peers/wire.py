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
LARGEST = 1_200  # bytes of a datagram
MOST_NOTES = 24  # on the members, in one datagram
LARGEST_BODY = 700  # bytes of a decision
LARGEST_WORDS = 1_000  # bytes that a feature says in one datagram
ROOM = LARGEST - 60  # bytes for the notes and the body; the rest is their frame

Count = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Words = Annotated[bytes, Meta(max_length=LARGEST_WORDS)]
Decision = Annotated[bytes, Meta(max_length=LARGEST_BODY)]
Life = Annotated[int, Meta(ge=0, le=2**62)]


class Status(IntEnum):
    """Of one member as another holds it. Of two with one incarnation the later in this order goes before."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class Note(Struct, array_like=True, frozen=True):
    """One member by another's word."""

    name: Name
    status: Status
    incarnation: Count
    by: Name  # who found it so


class Ping(Struct, array_like=True, tag="p", frozen=True):
    serial: Count
    status: Status  # of the sender, by its own word
    incarnation: Count
    held: Status  # what the sender holds of who is asked, so that it can refute it
    held_incarnation: Count
    digest: Count  # of who is present in the sender's view


class Ack(Struct, array_like=True, tag="a", frozen=True):
    serial: Count
    status: Status
    incarnation: Count
    held: Status
    held_incarnation: Count
    digest: Count


class Ask(Struct, array_like=True, tag="q", frozen=True):
    """Ping `name` for me, I don't hear it."""

    serial: Count
    name: Name


class Relayed(Struct, array_like=True, tag="r", frozen=True):
    """What came of an `Ask`: it answered, or (`answered` false) it did not, but the helper is there."""

    serial: Count
    name: Name
    answered: bool
    incarnation: Count


class Height(Struct, array_like=True, frozen=True):
    """How far things have gone on a topic, as far as the sender ever heard, and what it goes by itself."""

    topic: Name
    epoch: Count
    version: Count
    decided: Count  # version that the sender goes by; 0: none


class Table(Struct, array_like=True, tag="t", frozen=True):
    """Part of the sender's whole table, in the notes; `wanted`: send yours from `at` on."""

    wanted: bool
    at: Count
    told: Annotated[list[Height], Meta(max_length=16)]


class Topic(Struct, array_like=True, frozen=True):
    """The value of one register: who holds the lease on a topic, and the newest decision on it."""

    epoch: Count = 0  # grows with each holder: the fencing token
    holder: Annotated[str, Meta(max_length=64)] = ""
    life: Life = 0  # of the holder's process
    span: Count = 0  # microseconds from acceptance that the lease runs at an elector
    version: Count = 0  # of the decision; grows by one
    body: Decision = b""


class Ballot(Struct, array_like=True, frozen=True, order=True):
    number: Count = 0
    name: Annotated[str, Meta(max_length=96)] = ""  # of the asking process: name and life, never used again


class Prepare(Struct, array_like=True, tag="P", frozen=True):
    topic: Name
    ballot: Ballot


class Promise(Struct, array_like=True, tag="Q", frozen=True):
    topic: Name
    ballot: Ballot
    life: Life  # of the elector: only this life may accept under this promise
    accepted: Ballot
    value: Topic
    running: Count  # microseconds that the lease in `value` still runs by the elector's clock


class Accept(Struct, array_like=True, tag="A", frozen=True):
    topic: Name
    ballot: Ballot
    life: Life  # of the elector that promised
    value: Topic


class Accepted(Struct, array_like=True, tag="B", frozen=True):
    topic: Name
    ballot: Ballot
    life: Life


class Refused(Struct, array_like=True, tag="N", frozen=True):
    """A ballot came too late; `highest` is what was promised. `silent`: the elector gives no vote yet."""

    topic: Name
    ballot: Ballot
    highest: Ballot
    silent: bool


class Recall(Struct, array_like=True, tag="R", frozen=True):
    """An elector that forgot asks another for what it holds; who answers is bound by a higher promise
    first."""

    life: Life
    round: Count


class Recalled(Struct, array_like=True, tag="S", frozen=True):
    life: Life  # of who asked, ...
    round: Count  # ... and in which try
    knows: bool  # false: it forgot as well, and its word counts only where too few remember
    forgot: Count  # for how long it has not known by now, microseconds
    registers: Annotated[list[tuple[Name, Ballot, Ballot, Topic]], Meta(max_length=16)]
    last: bool  # no more parts come
    part: Count


class Made(Struct, array_like=True, tag="M", frozen=True):
    """A decision that a majority has accepted, by the sender's word."""

    topic: Name
    epoch: Count
    version: Count
    body: Decision


class Confirm(Struct, array_like=True, tag="C", frozen=True):
    """Has this elector accepted decision `version` with that body?"""

    topic: Name
    version: Count
    mark: Count  # CRC-32 of the body


class Confirmed(Struct, array_like=True, tag="D", frozen=True):
    """It has, and holds it now."""

    topic: Name
    version: Count
    mark: Count


class Carried(Struct, array_like=True, tag="x", frozen=True):
    """What a feature that goes by peers says to the same feature of another member. It may be lost,
    doubled and late; the feature reads its words itself."""

    topic: Name
    words: Words


Body = (
    Ping
    | Ack
    | Ask
    | Relayed
    | Table
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Refused
    | Recall
    | Recalled
    | Made
    | Confirm
    | Confirmed
    | Carried
)


class Datagram(Struct, array_like=True, frozen=True):
    version: int
    site: Annotated[int, Meta(ge=0, lt=2**32)]
    body: Body
    notes: Annotated[list[Note], Meta(max_length=MOST_NOTES)]


class Foreign(Exception):
    """Not for this sidecar; the text says why, in one word that is counted."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def site_of(name: str) -> int:
    return crc32(name.encode())


def encode(site: int, body: Body, notes: list[Note]) -> bytes:
    """At most `LARGEST` bytes: notes that find no room are left out, the last ones first."""
    while True:
        data = ENCODER.encode(Datagram(VERSION, site, body, notes[:MOST_NOTES]))
        if len(data) <= LARGEST or not notes:
            return data
        notes = notes[: min(len(notes), MOST_NOTES) * 3 // 4]


def decode(site: int, data: bytes) -> Datagram:
    """Raises Foreign."""
    if len(data) > LARGEST:
        raise Foreign("large")
    try:
        found = DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise Foreign("garbled") from error
    if found.version != VERSION:
        raise Foreign("version")
    if found.site != site:
        raise Foreign("site")
    return found
