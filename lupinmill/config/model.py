"""What configuration is made of, and the notes and orders between its pure cores and their drivers. Pure.

An *entry* is one JSON value under a scope and a kind. A *version* is the state of all entries; it has an
index, which only grows, and a mark: a checksum chained over all changes so far, which tells two histories
apart that count alike. A *change* goes from one version to the next, whole or not at all. A *snapshot* is all
entries of one version. A sidecar watches the scopes that concern it; the others' entries never reach it.

Times are whole microseconds of the caller's clock, as in `lupinmill.terms`."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple


class Key(NamedTuple):
    scope: str  # "fleet", "region/NAME", "zone/NAME", "service/NAME" or "sidecar/NAME"
    kind: str  # "settings", "zones", or "member/NAME"


Entries = dict[Key, Any]  # JSON values; None, in changes alone: the entry is gone

# Of scopes that name the same setting the later one goes before the earlier.
SCOPES = ("fleet", "region", "zone", "service", "sidecar")
SETTINGS, ZONES, MEMBER = "settings", "zones", "member/"

MAX_REPLY_BYTES = 8 * 1024 * 1024  # bytes of an answer to a watch; no source publishes more than fits


@dataclass(frozen=True, slots=True)
class Version:
    index: int = 0  # 0: nothing is known
    mark: str = ""


@dataclass(slots=True)
class Reply:
    """What a watch answers: a snapshot, or the changes since the version that it was asked from. Of both, the
    entries of the scopes asked for alone."""

    version: Version
    is_snapshot: bool
    entries: Entries
    since: Version = field(default_factory=Version)  # that the changes lead on from; of changes alone
    spread_ms: int = 0  # over so long this relay wants its callers to come again when they all lost it


@dataclass(slots=True)
class Status:
    """What one that watches says of itself with each call, upwards."""

    name: str
    in_force: Version  # the one that this process goes by
    refused: int = 0  # index of the newest version that it would not take; 0: none
    why: str = ""  # the key, and what is wrong there
    # Of a relay: the highest version that it was asked from and never had, so that a source which came back
    # from an older backup hears of it also through relays. The relay's driver fills it from `History.ahead`.
    ahead: Version = field(default_factory=Version)


# --- notes to `Follower`: a watch on relays (or sources), of a sidecar or of a relay -------------


@dataclass(slots=True)
class ReplyReceived:
    """The call that `Ask` ordered was answered."""

    relay: str  # address of the relay
    reply: Reply


@dataclass(slots=True)
class WatchFailed:
    """It was not: refused, broke, came to its time limit (silent), or what came can't be read (garbled)."""

    relay: str
    why: str
    garbled: bool = False
    silent: bool = False


@dataclass(slots=True)
class VersionApplied:
    """The version that `Apply` offered is in force."""

    version: Version


@dataclass(slots=True)
class VersionRefused:
    """It is not, and the one before stays in force, whole."""

    version: Version
    why: str  # the key, and what is wrong there


@dataclass(slots=True)
class TimerFired:
    pass


FollowerEvent = ReplyReceived | WatchFailed | VersionApplied | VersionRefused | TimerFired

# --- orders of `Follower` -----------------------------------------------------------------------


@dataclass(slots=True)
class SendWatch:
    """A watch at this relay from the version held; from index 0 the snapshot, at once. One call is out at a
    time; another `Ask` gives the one before it up."""

    relay: str
    since: Version
    wait_us: int  # microseconds that the relay may hold it
    deadline: int  # when the call counts as silent


@dataclass(slots=True)
class ApplyVersion:
    """All entries held (of the scopes watched) as of this version, for reading alone; the driver says `Took`
    or `Refused`. The next call waits for that word, a second at most, so as to carry it. A relay takes each
    one; what it serves before it has kept it, it may lack after a restart, which harms nobody."""

    version: Version
    entries: Entries


@dataclass(slots=True)
class SetTimer:
    at: int


@dataclass(slots=True)
class LogLine:
    text: str


FollowerCommand = SendWatch | ApplyVersion | SetTimer | LogLine
