"""The settings in force: the platform's settings, overlaid with configuration entries while running.

A change is checked completely before anything is changed, and then applied to all parts without a pause in
between. Requests in progress keep the terms under which they were accepted. This module owns the base (the
platform's latest settings), the version in force with its entries, and the newest refused version."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING
from zlib import crc32

from lupinmill import terms as t
from lupinmill.config import checks, merge, stable_store
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

LONG_POLL_WAIT = 8_000_000  # microseconds that a relay may hold a watch; a hanging one is left within 12 s
MAX_MESSAGE_LENGTH = 200

# Settings that can't change at run time, since parts are built from them once or others rely on them: the
# field of `Deployment`, and its key. `operators_file.changes_needing_restart` has further ones.
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
    """The text is one line: the key and the fault."""


@dataclass(slots=True)
class ConfigCandidate:
    version: Version
    entries: Entries
    reason: str = ""


def combine(base: ProcessSettings, entries: Entries) -> ProcessSettings:
    """The platform's settings with the entries laid over them. Raises IncompatibleConfig."""
    combined, file = base, base.operator_file
    assert file is not None
    try:
        if any(key.kind == SETTINGS for key in entries):
            for key, value in entries.items():
                if key.kind == SETTINGS and isinstance(value, dict):
                    checks.check_known_keys(value)
            fields = settings.flatten(merge.merge_settings(base.settings, entries))
            settings.check(fields)
            checks.check_ranges(fields)
            deployment = replace(settings.deployment(fields), seed=base.deployment.seed)
            if not deployment.workloads:
                raise ValueError("settings.workloads: none would be left")
            DispatchSettings(deployment)  # raises what the decision module would raise
            combined = replace(
                base,
                deployment=deployment,
                idle_timeout_s=settings.idle_timeout_s(fields),
                connect_timeout_s=settings.connect_timeout_s(fields),
            )
        file = operators_file.with_entries(
            file, merge.member_overrides(entries), merge.zones_override(entries)
        )
        operators_file.check_against_platform(file, base.name, combined.deployment)
    except (operators_file.ConfigFileError, ValueError, TypeError, OverflowError, ArithmeticError) as error:
        raise IncompatibleConfig(" ".join(str(error).split())[:MAX_MESSAGE_LENGTH]) from error
    return replace(combined, operator_file=file)


def check_restart_required(running: ProcessSettings, new: ProcessSettings) -> None:
    """Raises IncompatibleConfig, naming the key, for a change that needs a restart."""
    for field, key in RESTART_REQUIRED:
        if getattr(running.deployment, field) != getattr(new.deployment, field):
            raise IncompatibleConfig(f"settings.{key}: needs a restart")
    if others := operators_file.changes_needing_restart(
        running.operator_file, new.operator_file, running.name
    ):
        raise IncompatibleConfig(f"{others[0]}: needs a restart")
    file = new.operator_file
    if file is not None and file.zones is not None:
        values = [{w.name: w.value for w in each.deployment.workloads} for each in (running, new)]
        maps = [operators_file.zone_map(file.zones, names) for names in values]
        if maps[0] != maps[1]:
            raise IncompatibleConfig(
                "settings.workloads: names and values need a restart where [zones] plans by them"
            )


def scopes_of(process: ProcessSettings) -> tuple[str, ...]:
    file = process.operator_file
    assert file is not None and file.config is not None
    zone, region = operators_file.location(file, process.name, process.deployment.zone)
    return merge.watched_scopes(process.name, zone, region, file.config.service)


def load_kept(base: ProcessSettings, log: Log) -> tuple[ProcessSettings, ConfigCandidate]:
    """The settings for the start, before any relay answers: with the version that an earlier process saved,
    where it can be read and still applies; else the platform's settings alone."""
    assert base.operator_file is not None and base.operator_file.config is not None
    path = base.operator_file.config.keep
    try:
        saved = stable_store.load(path) if path else None
        if saved is None:
            return base, ConfigCandidate(Version(), {})
        version, entries = saved
        if entries.pop(ConfigWatch.WATCHED_SCOPES_KEY, None) != list(scopes_of(base)):
            raise IncompatibleConfig("kept for other scopes")
        combined = combine(base, entries)
        check_restart_required(base, combined)
    except (stable_store.StableStoreError, IncompatibleConfig) as error:
        log("config", text="saved configuration ignored", error=str(error))
        return base, ConfigCandidate(Version(), {})
    return combined, ConfigCandidate(version, entries)


class LiveConfig:
    def __init__(self, program: Program, base: ProcessSettings, kept: ConfigCandidate, log: Log) -> None:
        self.program, self.platform_settings, self.log = program, base, log
        self.current, self.source = kept, "kept file" if kept.version.index else "as told"
        self.refused: ConfigCandidate | None = None
        self.since = time.time()
        file = base.operator_file
        assert file is not None and file.config is not None
        config = file.config
        self.follower = Follower(
            base.name,
            tuple(config.relays),
            base.deployment.seed ^ crc32(base.name.encode()),
            LONG_POLL_WAIT,
            int(config.spread_s * 1_000_000),
            kept.version,
            kept.entries,
        )
        self.watch = ConfigWatch(
            self.follower, scopes_of(base), program.block_pool, self.apply_version, log, config.keep or None
        )
        self.watch.saved_index = kept.version.index
        self.run = self.watch.run

    def check(self, base: ProcessSettings, entries: Entries) -> ProcessSettings:
        new = combine(base, entries)
        check_restart_required(self.program.settings, new)
        return new

    def apply_version(self, version: Version, entries: Entries) -> str | None:
        """Applies a version from the relays. Returns the reason where it is refused."""
        try:
            new = self.check(self.platform_settings, entries)
        except IncompatibleConfig as error:
            self.refused = ConfigCandidate(version, entries, str(error))
            return str(error)
        self.apply(new)
        self.current, self.refused = ConfigCandidate(version, entries), None
        self.since, self.source = time.time(), self.watch.relay
        self.log("config", text=f"version {version.index} in force", source=self.source)
        return None

    def rebase(self, base: ProcessSettings) -> str | None:
        """Applies new platform settings under the newest entries that fit. Returns why where none do."""
        reason = None
        for candidate in (self.refused, self.current):
            if candidate is None:
                continue
            try:
                new = self.check(base, candidate.entries)
            except IncompatibleConfig as error:
                reason = str(error)
                continue
            self.platform_settings = base
            self.apply(new)
            if self.refused is not None:
                self.watch.retry_refused()
            return None
        return reason

    def apply(self, new: ProcessSettings) -> None:
        """Changes all parts without a pause in between, first the decision module: it alone can fail."""
        program, old = self.program, self.program.settings
        if new.deployment != old.deployment:
            self.change_deployment(new.deployment)
        program.settings = new
        program.connection_pool.set_limits(new.idle_timeout_s, new.connect_timeout_s)
        if new.operator_file != old.operator_file:
            program.change_peers(new)
        relays = self.relays(new)
        if relays != self.relays(old):
            self.watch.change_relays(relays)

    def relays(self, process: ProcessSettings) -> tuple[str, ...]:
        file = process.operator_file
        return tuple(file.config.relays) if file is not None and file.config is not None else ()

    def change_deployment(self, deployment: t.Deployment) -> None:
        program, dispatcher = self.program, self.program.engine.sidecar.dispatcher
        before = dispatcher.settings
        program.engine.handle_event(t.DeploymentChanged(deployment))
        if dispatcher.settings is before:
            raise RuntimeError(
                "the decision module refused the deployment"
            )  # the engine has logged the cause
        advice = deployment.longest_advice // 2 if deployment.advice_allowed else 0
        program.request_factory.deploy({w.name for w in deployment.workloads}, advice)
        program.admission.deploy(deployment)
        program.client_handler.retry_after = advice
        program.discovery.set_instances(deployment.instances)
        if program.fleet_state is not None:
            program.fleet_state.change_configured_count(deployment.instances)

    def show(self) -> dict[str, object]:
        version, refused = self.current.version, self.refused
        return {
            "version": version.index,
            "mark": version.mark,
            "since": round(self.since, 3),
            "source": self.source,
            "scopes": list(self.watch.scopes),
            "heard": self.follower.version.index,
            "refused": None if refused is None else {"version": refused.version.index, "why": refused.reason},
            "relays": list(self.follower.relays),
            "kept": self.watch.saved_index,
        }
