"""Start the entry process from the command line."""

import click

from bamboodeck.entry.app import EntryApp
from bamboodeck.environment import Environment
from bamboodeck.logs import build_event_log
from bamboodeck.loop.program import start_program
from bamboodeck.settings.process import (
    load_settings_file,
    parse_entry_settings,
)


@click.command(name='bamboodeck-entry')
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(dir_okay=False),
    help='INI file with the settings of this process.',
)
@click.option('--check', is_flag=True, help='Check the settings and exit.')
def run(path: str, check: bool) -> None:
    """Serve callers on this entry host."""
    start_program(lambda environment: _serve(environment, path, check))


def _serve(environment: Environment, path: str, check: bool) -> None:
    settings = parse_entry_settings(load_settings_file(path), path)
    if check:
        environment.stdout.write(f'{path}: settings are valid\n')
        return
    log = build_event_log(
        environment.stderr,
        as_json=settings.log_json,
        level=settings.log_level,
    )
    EntryApp(environment, settings, log).run()
