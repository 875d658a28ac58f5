"""Shared by the configuration tests: entry keys and the empty version."""

from lupinmill.config.model import Key, Version

SECOND = 1_000_000
FLEET = Key("fleet", "settings")
NO_VERSION = Version()


def service_settings(name: str) -> Key:
    return Key(f"service/{name}", "settings")
