"""An earlier decision module of this repository under today's lab: its `rules`, `terms` and `workings` are
loaded from a git worktree before anything else of the lab is, and are given today's names
(`earlier_names`). Imports nothing else of the project."""

from __future__ import annotations

import contextlib
import importlib.util
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType

MODULES = ("terms", "workings", "rules")


class NoSuchVersion(Exception):
    """The text is one line."""


def take_from(folder: str) -> None:
    """In a fresh process, before the lab is imported: the module's files of that tree in place of today's."""
    import lupinmill
    from lupinmill.lab import earlier_names

    loaded: dict[str, ModuleType] = {}
    for name in MODULES:
        path = Path(folder) / "lupinmill" / f"{name}.py"
        if not path.is_file():
            continue  # versions from before the split
        spec = importlib.util.spec_from_file_location(f"lupinmill.{name}", path)
        if spec is None or spec.loader is None:
            raise NoSuchVersion(f"{path}: can't be loaded")
        module = importlib.util.module_from_spec(spec)
        sys.modules[f"lupinmill.{name}"] = module
        setattr(lupinmill, name, module)
        spec.loader.exec_module(module)
        loaded[name] = module
    earlier_names.adapt(loaded)


@contextlib.contextmanager
def worktree(revision: str) -> Iterator[str]:
    """The tree of that revision in a folder of its own, removed afterwards."""
    root = Path(__file__).resolve().parents[2]
    with tempfile.TemporaryDirectory(prefix="lupinmill-rev-") as folder:
        target = str(Path(folder) / "tree")
        made = subprocess.run(
            ["git", "-C", str(root), "worktree", "add", "--detach", target, revision],
            capture_output=True,
            text=True,
            check=False,
        )
        if made.returncode:
            raise NoSuchVersion(
                f"{revision}: {made.stderr.strip().splitlines()[-1] if made.stderr else 'no worktree'}"
            )
        try:
            yield target
        finally:
            subprocess.run(
                ["git", "-C", str(root), "worktree", "remove", "--force", target],
                capture_output=True,
                check=False,
            )
