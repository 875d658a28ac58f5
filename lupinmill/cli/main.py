"""Root of the command. Each group is imported on use only, so that it does not require the extras of other
groups."""

from __future__ import annotations

import importlib
import sys

import click

GROUPS = {  # name: module, command, help, and the required extra
    "check": ("lupinmill.cli.check", "check", "Check an operator's file and explain it.", "peers"),
    "config": ("lupinmill.cli.config", "config", "Versioned configuration: status, pushes.", "peers"),
    "lab": ("lupinmill.cli.lab", "lab", "Simulate: emulator, load, experiments, reports.", "lab"),
    "zones": ("lupinmill.cli.zones", "zones", "Traffic between zones: the plan, drains.", "peers"),
    "relay": ("lupinmill.cli.relay", "relay", "Run a relay of configuration, or its source.", "peers"),
    "peers": ("lupinmill.cli.peers", "peers", "A sidecar's view of its peers.", "peers"),
}


class Groups(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *GROUPS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in GROUPS:
            return super().get_command(ctx, name)
        module, command, _, extra = GROUPS[name]
        try:
            return getattr(importlib.import_module(module), command)
        except ModuleNotFoundError as error:
            if error.name and error.name.startswith("lupinmill"):
                raise
            raise click.ClickException(
                f"{name} requires {error.name}: pip install 'lupinmill[{extra}]'"
            ) from error

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        rows = [(name, text) for name, (_, _, text, _) in GROUPS.items()]
        rows += [
            (name, command.get_short_help_str())
            for name, command in super().list_commands(ctx) and self.commands.items()
        ]
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows))


@click.group(cls=Groups, context_settings={"help_option_names": ["-h", "--help"]})
def root() -> None:
    """A load balancer for services that call services.

    Without arguments it serves, configured by BALANCER_CONFIG and related variables.
    """


@root.command()
def serve() -> None:
    """Serve; the same as without arguments."""
    from lupinmill.__main__ import serve as run

    sys.exit(run())


def main(arguments: list[str]) -> int:
    root.main(args=arguments, prog_name="lupinmill")
    return 0
