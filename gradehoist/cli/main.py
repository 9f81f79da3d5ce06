"""The root command `gradehoist`."""

from __future__ import annotations

import errno
from types import MappingProxyType
from typing import Any

import click

from gradehoist.cli.cells_commands import cells
from gradehoist.cli.errors import InputError
from gradehoist.cli.governor_commands import check, governor, openapi
from gradehoist.cli.plan_commands import plan
from gradehoist.cli.scenario_commands import audit, scenario


class RootGroup(click.Group):
    """The root command: supports earlier names of commands and reports OS errors in one line."""

    # Earlier names of commands, which scripts still use.
    ALIASES = MappingProxyType({"day": "scenario"})

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Returns the command with a present or earlier name."""
        return super().get_command(context, self.ALIASES.get(name, name))

    def invoke(self, context: click.Context) -> Any:
        """Runs a command and reports an OSError in one line.

        Commands write each record completely or not at all, so a command that failed because of a full disk
        can be run again.

        Raises:
            InputError: A folder can't be written, or its disk is full.
        """
        try:
            return super().invoke(context)
        except OSError as error:
            # Click itself handles a closed reader of standard output.
            if error.errno == errno.EPIPE:
                raise
            raise InputError(
                f"{error.filename or context.invoked_subcommand}: {error.strerror or error}; "
                "see to the folder and its disk, then run it again"
            ) from None


@click.group(cls=RootGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version="0.2.0", prog_name="gradehoist")
def main() -> None:
    """A central planner that publishes weights, withdrawals and admission shares to plain proxies.

    Exit codes: 0 for success, 1 if a rule or an expectation does not hold, 2 for invalid arguments, settings
    or input.
    """


for command in (check, governor, scenario, audit, cells, plan, openapi):
    main.add_command(command)


if __name__ == "__main__":
    main()
