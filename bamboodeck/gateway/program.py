"""Run a gateway on the platform that its settings describe."""

import sys
from pathlib import Path

from bamboodeck.environment import Environment
from bamboodeck.errors import InputError
from bamboodeck.gateway.app import GatewayApp
from bamboodeck.gateway.output import BoundedOutput
from bamboodeck.loop.program import start_program
from bamboodeck.platform.adapter import (
    PLATFORM,
    find_settings_path,
    parse_settings,
)


class SettingsPathError(InputError):
    """Report that there are no settings to read."""


def main() -> None:
    """Serve until the process is told to stop."""
    start_program(serve)


def serve(environment: Environment) -> None:
    """Read the settings and run; raise an error with every fault of them."""
    path = find_settings_path()
    if path is None:
        raise SettingsPathError('no settings file is named in the environment')
    settings = parse_settings(read_settings(path))
    output = BoundedOutput(sys.stdout.fileno())
    GatewayApp(environment, settings, PLATFORM, output).run()


def read_settings(path: Path) -> str:
    """Read a settings file; raise `SettingsPathError`."""
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsPathError(f'{path}: {error}')
