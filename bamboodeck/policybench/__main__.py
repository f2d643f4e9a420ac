"""Run the policy experiments without importing the rest of the bench."""

import sys

import click

from bamboodeck.errors import BamboodeckError
from bamboodeck.policybench.commands import decision, policy, report
from bamboodeck.policybench.placing_commands import placement


@click.group()
def commands() -> None:
    """Compare policies on a virtual clock."""


commands.add_command(decision)
commands.add_command(placement)
commands.add_command(policy)
commands.add_command(report)


def main() -> int:
    """Run a command; return its exit status."""
    try:
        commands.main(standalone_mode=False)
    except BamboodeckError as error:
        click.echo(str(error), err=True)
        return error.exit_status
    except click.ClickException as error:
        error.show()
        return error.exit_code
    return 0


if __name__ == '__main__':
    sys.exit(main())
