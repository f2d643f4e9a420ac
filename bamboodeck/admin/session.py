"""Provide the options and the API client that the commands share."""

import functools
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TextIO

import click

from bamboodeck.admin.client import Client, HttpClient
from bamboodeck.environment import Environment
from bamboodeck.errors import InputError
from bamboodeck.http.messages import Address, parse_address

SERVER_VARIABLE = 'BAMBOODECK_SERVER'
KEY_VARIABLE = 'BAMBOODECK_KEY'
OpenClient = Callable[[Address, str], Client]


class ServerMissingError(InputError):
    """Report that no server was given."""


@dataclass(frozen=True)
class Dependencies:
    """Group the dependencies that tests replace."""

    environment: Environment = field(default_factory=Environment)
    open_client: OpenClient = HttpClient
    sleep: Callable[[float], None] = time.sleep


@dataclass(frozen=True)
class Session:
    """Provide the common options and the client to a command."""

    dependencies: Dependencies
    server: str
    key: str
    as_json: bool

    @property
    def stdout(self) -> TextIO:
        """Return the stream for results."""
        return self.dependencies.environment.stdout

    @property
    def stderr(self) -> TextIO:
        """Return the stream for diagnostics."""
        return self.dependencies.environment.stderr

    @functools.cached_property
    def client(self) -> Client:
        """Return the client; raise `InputError` if no server was given."""
        if not self.server:
            raise ServerMissingError(
                f'give --server IP:PORT or set {SERVER_VARIABLE}',
            )
        address = parse_address(self.server)
        return self.dependencies.open_client(address, self.key)

    def new_change_id(self) -> str:
        """Return a random id for a change."""
        number = self.dependencies.environment.random.getrandbits(128)
        return str(uuid.UUID(int=number, version=4))


def with_session(command: Callable[..., None]) -> Callable[..., None]:
    """Add the common options to a command and pass it a `Session`."""

    @click.option(
        '--server',
        metavar='IP:PORT',
        envvar=SERVER_VARIABLE,
        default='',
        help='Administration address of an entry host.',
    )
    @click.option(
        '--key',
        envvar=KEY_VARIABLE,
        default='',
        help='Key of the operator; better set by BAMBOODECK_KEY.',
    )
    @click.option('--json', 'as_json', is_flag=True, help='Write JSON.')
    @click.pass_obj
    @functools.wraps(command)
    def run(  # noqa: WPS430
        dependencies: Dependencies,
        server: str,
        key: str,
        *,
        as_json: bool,
        **options: Any,
    ) -> None:
        command(Session(dependencies, server, key, as_json), **options)

    return run


def with_change(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of commands that make a change."""

    @click.option(
        '--wait-s',
        type=click.FloatRange(0, 600),
        default=10.0,
        show_default=True,
        help='How long to wait for the zones to confirm.',
    )
    @click.option(
        '--change-id',
        default='',
        help='Id of the change; repeat it to retry after a lost answer.',
    )
    @functools.wraps(command)
    def run(session: Session, **options: Any) -> None:  # noqa: WPS430
        options['change_id'] = options['change_id'] or session.new_change_id()
        command(session, **options)

    return with_session(run)
