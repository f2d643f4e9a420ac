"""Run a gateway on the platform that its settings describe."""

import sys
from functools import partial

from bamboodeck.environment import Environment
from bamboodeck.errors import InputError
from bamboodeck.gateway.app import GatewayApp
from bamboodeck.gateway.early import Listeners
from bamboodeck.gateway.output import BoundedOutput
from bamboodeck.gateway.reload import SettingsSource
from bamboodeck.loop.program import start_program
from bamboodeck.platform.adapter import (
    PLATFORM,
    find_settings_path,
    parse_settings,
)


class SettingsPathError(InputError):
    """Report missing or unreadable settings."""


def main(listeners: Listeners) -> None:
    """Serve until the process receives a stop signal."""
    start_program(partial(serve, listeners=listeners))


def serve(environment: Environment, listeners: Listeners) -> None:
    """Read the settings and run; raise an error that lists all their faults."""
    path = find_settings_path()
    if path is None:
        raise SettingsPathError('no settings file is named in the environment')
    source = SettingsSource(path, parse_settings)
    try:
        settings = source.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsPathError(f'{path}: {error}')
    output = BoundedOutput(sys.stdout.fileno())
    app = GatewayApp(
        environment,
        settings,
        PLATFORM,
        output,
        source,
        listeners,
    )
    app.run()
