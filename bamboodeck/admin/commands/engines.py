"""Drain engines and rotate keys."""

from urllib.parse import quote

import click

from bamboodeck.admin.calls import Method
from bamboodeck.admin.confirmation import ChangeRequest, make_change
from bamboodeck.admin.messages import AddSigningKey, MakeChange
from bamboodeck.admin.session import Session, with_change

SECRET_BITS = 256
_HEX_DIGIT_BITS = 4


@click.command()
@click.argument('engine')
@click.option('--undo', is_flag=True, help='Resume sending work to the engine.')
@with_change
def drain(
    session: Session,
    engine: str,
    *,
    undo: bool,
    wait_s: float,
    change_id: str,
) -> None:
    """Stop sending new work to an engine."""
    action = 'undrain' if undo else 'drain'
    path = f'engines/{quote(engine)}/{action}'
    body = MakeChange(change_id)
    make_change(
        session,
        ChangeRequest(Method.POST, path, body, change_id, wait_s),
    )


@click.group()
def key() -> None:
    """Rotate the keys that sign session tokens."""


@key.command()
@click.argument('key_id')
@with_change
def rotate(
    session: Session,
    key_id: str,
    wait_s: float,
    change_id: str,
) -> None:
    """Sign with a new random key; older keys are still accepted."""
    number = session.dependencies.environment.random.getrandbits(SECRET_BITS)
    secret_hex = f'{number:0{SECRET_BITS // _HEX_DIGIT_BITS}x}'
    body = AddSigningKey(key_id, secret_hex, change_id)
    make_change(
        session,
        ChangeRequest(Method.POST, 'keys', body, change_id, wait_s),
    )
