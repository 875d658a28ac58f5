"""Commands as text, for the digests that result files keep.

A replay compares its digests with those of a result file, which an earlier version may have written. The text
therefore spells the names of classes and fields that results were first recorded with, whatever they are
called now.
"""

from __future__ import annotations

from dataclasses import fields
from functools import cache

from lupinmill import terms as t

# Field -> its recorded name, where the two differ. The recorded class names are those of `LOGGED_NAMES`.
RECORDED_FIELDS: dict[type, dict[str, str]] = {
    t.StartAttempt: {"request": "submission"},
    t.CancelAttempt: {"request": "submission", "attempt": "launch"},
    t.AbandonAttempt: {"request": "submission", "attempt": "launch"},
    t.ForwardResponse: {"request": "submission"},
    t.RejectRequest: {"request": "submission", "retry_after": "come_back"},
    t.AbortResponse: {"request": "submission"},
}


def recorded_text(commands: list[t.Command]) -> str:
    """The repr that a list of these commands had in the version that recorded the first results."""
    return f"[{', '.join(map(recorded_command, commands))}]"


def recorded_command(command: t.Command) -> str:
    command_type: type = type(command)
    name, recorded_fields = recorded_names(command_type)
    values = [f"{recorded}={getattr(command, field)!r}" for field, recorded in recorded_fields]
    return f"{name}({', '.join(values)})"


@cache
def recorded_names(command_type: type) -> tuple[str, tuple[tuple[str, str], ...]]:
    """The recorded name of a class, and its fields as (name, recorded name), in their order."""
    renamed = RECORDED_FIELDS.get(command_type, {})
    pairs = tuple((field.name, renamed.get(field.name, field.name)) for field in fields(command_type))
    return t.LOGGED_NAMES.get(command_type, command_type.__name__), pairs
