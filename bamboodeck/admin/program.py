"""Run the operator command line."""

from collections.abc import Sequence

import click

from bamboodeck.admin.commands import (
    config,
    engines,
    presets,
    reports,
    versions,
)
from bamboodeck.admin.session import Dependencies
from bamboodeck.errors import BamboodeckError
from bamboodeck.exit_status import ExitStatus

PROGRAM_NAME = 'bamboodeck'


_COMMANDS = (
    config.config,
    presets.preset,
    versions.rollout,
    versions.version,
    engines.drain,
    engines.key,
    reports.placement,
    reports.show_credits,
    reports.bills,
    reports.status,
    reports.explain,
)


@click.group(
    name=PROGRAM_NAME,
    commands={command.name: command for command in _COMMANDS},
)
def cli() -> None:
    """Operate bamboodeck through the administration API of an entry host."""


def run_command(
    arguments: Sequence[str] | None = None,
    dependencies: Dependencies | None = None,
) -> ExitStatus:
    """Run one command and return its exit status."""
    dependencies = dependencies or Dependencies()
    stderr = dependencies.environment.stderr
    try:
        status = cli.main(
            arguments,
            PROGRAM_NAME,
            standalone_mode=False,
            obj=dependencies,
        )
    except BamboodeckError as error:
        stderr.write(f'{PROGRAM_NAME}: {error}\n')
        return error.exit_status
    except click.Abort:
        return ExitStatus.INTERRUPTED
    except click.ClickException as usage_error:
        usage_error.show(stderr)
        return ExitStatus.BAD_INPUT
    return ExitStatus(status or 0)
