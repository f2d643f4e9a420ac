"""Show and set the preset in force."""

import click

from bamboodeck.admin.calls import Method
from bamboodeck.admin.confirmation import ChangeRequest, make_change
from bamboodeck.admin.messages import PresetView, PutPreset
from bamboodeck.admin.output import write_json, write_table
from bamboodeck.admin.session import Session, with_change, with_session


@click.group()
def preset() -> None:
    """Show or set the preset; exactly one is in force."""


@preset.command()
@with_session
def show(session: Session) -> None:
    """List the presets and the one in force."""
    view: PresetView = session.client.call(Method.GET, 'preset', PresetView)
    if session.as_json:
        write_json(session.stdout, view)
        return
    rows = [
        (name, 'in force' if name == view.in_force else '')
        for name in view.presets
    ]
    write_table(session.stdout, ('preset', 'state'), rows)


@preset.command('set')
@click.argument('name')
@with_change
def set_preset(
    session: Session,
    name: str,
    wait_s: float,
    change_id: str,
) -> None:
    """Switch to a preset."""
    body = PutPreset(name, change_id)
    make_change(
        session,
        ChangeRequest(Method.PUT, 'preset', body, change_id, wait_s),
    )
