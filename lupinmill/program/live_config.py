"""What this process goes by: settings as the platform told them, entries of the configuration over them, put
in force while it runs, whole or not at all.

All is checked before anything changes; then all parts change in one go, with no pause between them. Work in
hand keeps the terms under which it was taken. Owns the base (as told last), the version in force with its
entries, and the newest version that was refused."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING
from zlib import crc32

from lupinmill import terms as t
from lupinmill.config import checks, keep, merge
from lupinmill.config.driver import ConfigWatch
from lupinmill.config.follower import Follower
from lupinmill.config.model import SETTINGS, Entries, Version
from lupinmill.program import operators_file
from lupinmill.program.process_settings import ProcessSettings
from lupinmill.protocol import settings
from lupinmill.routing.engine import Log
from lupinmill.rules import DispatchSettings

if TYPE_CHECKING:
    from lupinmill.program.sidecar import Program

WAIT = 8_000_000  # microseconds that a relay may hold a watch; one that hangs is left within 12 s
LONGEST_LINE = 200

# What can't change alive: parts are built by it once, or others count on it. By field of `Deployment`, the
# key; beside these what `operators_file.changes_needing_restart` names.
RESTART_REQUIRED = (
    ("tier", "tier"),
    ("poll_discovery", "discovery"),
    ("grace", "invariants.stop-sending-within-s"),
    ("round", "round-s"),
    ("reports_asked", "load-report.how"),
    ("sidecar_per_client", "family"),
    ("zone", "locality"),
    ("gone_binds", "invariants.dropped-stay-open"),
    ("few_connections", "limits.streams-per-conn or settings.prices.connection"),
)


class IncompatibleConfig(Exception):
    """The text is one line: the key, and what is wrong there."""


@dataclass(slots=True)
class ConfigCandidate:
    version: Version
    entries: Entries
    why: str = ""


def combine(base: ProcessSettings, entries: Entries) -> ProcessSettings:
    """What is told with the entries over it. Raises IncompatibleConfig."""
    found, file = base, base.operators
    assert file is not None
    try:
        if any(key.kind == SETTINGS for key in entries):
            for key, value in entries.items():
                if key.kind == SETTINGS and isinstance(value, dict):
                    checks.check_keys(value)
            fields = settings.flatten(merge.settings(base.settings, entries))
            settings.check(fields)
            checks.check_closely(fields)
            deployment = replace(settings.deployment(fields), seed=base.deployment.seed)
            if not deployment.workloads:
                raise ValueError("settings.workloads: none would be left")
            DispatchSettings(deployment)  # the module's own reading of it: what fails there fails here
            found = replace(
                base,
                deployment=deployment,
                idle_timeout_s=settings.idle_timeout_s(fields),
                connect_timeout_s=settings.connect_timeout_s(fields),
            )
        file = operators_file.with_entries(file, merge.members(entries), merge.zones(entries))
        operators_file.check_against_platform(file, base.name, found.deployment)
    except (operators_file.ConfigFileError, ValueError, TypeError, OverflowError, ArithmeticError) as error:
        raise IncompatibleConfig(" ".join(str(error).split())[:LONGEST_LINE]) from error
    return replace(found, operators=file)


def check_restart_required(running: ProcessSettings, new: ProcessSettings) -> None:
    """Raises IncompatibleConfig, with the key, where this would change what can't change alive."""
    for field, key in RESTART_REQUIRED:
        if getattr(running.deployment, field) != getattr(new.deployment, field):
            raise IncompatibleConfig(f"settings.{key}: wants a new start")
    if others := operators_file.changes_needing_restart(running.operators, new.operators, running.name):
        raise IncompatibleConfig(f"{others[0]}: wants a new start")
    file = new.operators
    if file is not None and file.zones is not None:
        values = [{w.name: w.value for w in told.deployment.workloads} for told in (running, new)]
        maps = [operators_file.zone_map(file.zones, names) for names in values]
        if maps[0] != maps[1]:
            raise IncompatibleConfig(
                "settings.workloads: names and values want a new start where [zones] plans by them"
            )


def scopes(told: ProcessSettings) -> tuple[str, ...]:
    file = told.operators
    assert file is not None and file.config is not None
    zone, region = operators_file.location(file, told.name, told.deployment.zone)
    return merge.scopes_of(told.name, zone, region, file.config.service)


def load_kept(base: ProcessSettings, log: Log) -> tuple[ProcessSettings, ConfigCandidate]:
    """At the start, before any relay answers: the version kept by the process before this one, where it can
    be read and still fits; else as told."""
    assert base.operators is not None and base.operators.config is not None
    path = base.operators.config.keep
    try:
        found = keep.load(path) if path else None
        if found is None:
            return base, ConfigCandidate(Version(), {})
        version, entries = found
        if entries.pop(ConfigWatch.WATCHED, None) != list(scopes(base)):
            raise IncompatibleConfig("kept for other scopes")
        told = combine(base, entries)
        check_restart_required(base, told)
    except (keep.BadKeep, IncompatibleConfig) as error:
        log("config", text="what was kept is not gone by", error=str(error))
        return base, ConfigCandidate(Version(), {})
    return told, ConfigCandidate(version, entries)


class LiveConfig:
    def __init__(self, program: Program, base: ProcessSettings, kept: ConfigCandidate, log: Log) -> None:
        self.program, self.base, self.log = program, base, log
        self.now, self.source = kept, "kept file" if kept.version.index else "as told"
        self.refused: ConfigCandidate | None = None
        self.since = time.time()
        file = base.operators
        assert file is not None and file.config is not None
        config = file.config
        self.follower = Follower(
            base.name,
            tuple(config.relays),
            base.deployment.seed ^ crc32(base.name.encode()),
            WAIT,
            int(config.spread_s * 1_000_000),
            kept.version,
            kept.entries,
        )
        self.watch = ConfigWatch(
            self.follower, scopes(base), program.store, self.take, log, config.keep or None
        )
        self.watch.kept_index = kept.version.index
        self.run = self.watch.run

    def judge(self, base: ProcessSettings, entries: Entries) -> ProcessSettings:
        new = combine(base, entries)
        check_restart_required(self.program.settings, new)
        return new

    def take(self, version: Version, entries: Entries) -> str | None:
        """A version from the relays; why not, where it can't be."""
        try:
            new = self.judge(self.base, entries)
        except IncompatibleConfig as error:
            self.refused = ConfigCandidate(version, entries, str(error))
            return str(error)
        self.put(new)
        self.now, self.refused = ConfigCandidate(version, entries), None
        self.since, self.source = time.time(), self.watch.at
        self.log("config", text=f"version {version.index} in force", source=self.source)
        return None

    def rebase(self, base: ProcessSettings) -> str | None:
        """The platform's file anew; the newest entries that fit lie over it. Why not, where none do."""
        why = None
        for offered in (self.refused, self.now):
            if offered is None:
                continue
            try:
                new = self.judge(base, offered.entries)
            except IncompatibleConfig as error:
                why = str(error)
                continue
            self.base = base
            self.put(new)
            if self.refused is not None:
                self.watch.offer_again()
            return None
        return why

    def put(self, new: ProcessSettings) -> None:
        """In one go, with no wait. The module, which alone can fail, comes first."""
        program, old = self.program, self.program.settings
        if new.deployment != old.deployment:
            self.deploy(new.deployment)
        program.settings = new
        program.pool.limit(new.idle_timeout_s, new.connect_timeout_s)
        if new.operators != old.operators:
            program.change_peers(new)
        relays = self.relays(new)
        if relays != self.relays(old):
            self.watch.change_relays(relays)

    def relays(self, told: ProcessSettings) -> tuple[str, ...]:
        file = told.operators
        return tuple(file.config.relays) if file is not None and file.config is not None else ()

    def deploy(self, d: t.Deployment) -> None:
        program, desk = self.program, self.program.engine.sidecar.dispatcher
        before = desk.settings
        program.engine.tell(t.DeploymentChanged(d))
        if desk.settings is before:
            raise RuntimeError("the module did not take it")  # its own line is in the log
        advice = d.longest_advice // 2 if d.advice_allowed else 0
        program.admit.deploy({w.name for w in d.workloads}, advice)
        program.door.deploy(d)
        program.take_in.advice = advice
        program.discovery.set_instances(d.instances)
        if program.fleet_state is not None:
            program.fleet_state.change(d.instances)

    def show(self) -> dict[str, object]:
        version, refused = self.now.version, self.refused
        return {
            "version": version.index,
            "mark": version.mark,
            "since": round(self.since, 3),
            "source": self.source,
            "scopes": list(self.watch.scopes),
            "heard": self.follower.version.index,
            "refused": None if refused is None else {"version": refused.version.index, "why": refused.why},
            "relays": list(self.follower.relays),
            "kept": self.watch.kept_index,
        }
