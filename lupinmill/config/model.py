"""Data model of the versioned configuration, and the events and commands exchanged between its pure state
machines and their drivers.

An *entry* is one JSON value under a scope and a kind. A *version* is the state of all entries. It has an
index, which only grows, and a mark: a checksum chained over all changes so far, which distinguishes two
histories that reached the same index. A *change* leads from one version to the next and is applied
atomically. A *snapshot* is all entries of one version. A sidecar watches only the scopes that apply to it;
entries of other scopes are never sent to it.

Times are integer microseconds of the caller's clock, as in `lupinmill.terms`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple


class Key(NamedTuple):
    scope: str  # "fleet", "region/NAME", "zone/NAME", "service/NAME" or "sidecar/NAME"
    kind: str  # "settings", "zones", or "member/NAME"


Entries = dict[Key, Any]  # JSON values; None, in changes only, removes the entry

# From widest to narrowest: a narrower scope overrides a wider one.
SCOPES = ("fleet", "region", "zone", "service", "sidecar")
SETTINGS, ZONES, MEMBER = "settings", "zones", "member/"

MAX_REPLY_BYTES = 8 * 1024 * 1024  # limit of a watch reply; a source publishes no more than fits


@dataclass(frozen=True, slots=True)
class Version:
    index: int = 0  # 0: no version known
    mark: str = ""


@dataclass(slots=True)
class Reply:
    """Reply to a watch: a snapshot, or the changes since the requested version, limited to the watched
    scopes."""

    version: Version
    is_snapshot: bool
    entries: Entries
    since: Version = field(default_factory=Version)  # base version of the changes; unset in a snapshot
    spread_ms: int = 0  # clients of this relay reconnect spread over this period when they all lose it


@dataclass(slots=True)
class Status:
    """State that a watcher reports upstream with each call."""

    name: str
    in_force: Version  # the version this process runs with
    refused: int = 0  # index of the newest version that was rejected; 0: none
    why: str = ""  # the key and the error
    # Set by relays: the highest version that a watcher asked from and this relay never had. It lets a source
    # that was restored from an older backup learn of newer versions through relays. The relay's driver copies
    # it from `History.ahead`.
    ahead: Version = field(default_factory=Version)


# --- events for `Follower`: a sidecar's or relay's watch on relays or sources --------------------


@dataclass(slots=True)
class ReplyReceived:
    """The watch sent by `SendWatch` was answered."""

    relay: str  # address
    reply: Reply


@dataclass(slots=True)
class WatchFailed:
    """The watch failed: refused, disconnected, timed out (silent), or the reply was malformed (garbled)."""

    relay: str
    why: str
    garbled: bool = False
    silent: bool = False


@dataclass(slots=True)
class VersionApplied:
    """The version passed in `ApplyVersion` is in force."""

    version: Version


@dataclass(slots=True)
class VersionRefused:
    """The version passed in `ApplyVersion` was rejected; the previous one stays in force unchanged."""

    version: Version
    why: str  # the key and the error


@dataclass(slots=True)
class TimerFired:
    pass


FollowerEvent = ReplyReceived | WatchFailed | VersionApplied | VersionRefused | TimerFired

# --- commands of `Follower` ----------------------------------------------------------------------


@dataclass(slots=True)
class SendWatch:
    """Sends a watch to this relay from the held version; from index 0 the relay replies with a snapshot at
    once. At most one watch is outstanding; a new `SendWatch` cancels the previous one."""

    relay: str
    since: Version
    wait_us: int  # how long the relay may hold the watch
    deadline: int  # when the watch counts as timed out


@dataclass(slots=True)
class ApplyVersion:
    """All held entries of the watched scopes as of this version, read-only. The driver answers with
    `VersionApplied` or `VersionRefused`; the next watch is delayed for that, by at most one second, so that
    it can report the outcome. A relay accepts every version and serves it before it is saved. After a restart
    it may be missing; the relay then fetches it again."""

    version: Version
    entries: Entries


@dataclass(slots=True)
class SetTimer:
    at: int


@dataclass(slots=True)
class LogLine:
    text: str


FollowerCommand = SendWatch | ApplyVersion | SetTimer | LogLine
