"""Roll out and withdraw versions."""

from urllib.parse import quote

import click

from bamboodeck.admin.calls import Method
from bamboodeck.admin.confirmation import ChangeRequest, make_change
from bamboodeck.admin.messages import MakeChange, RolloutsView, StartRollout
from bamboodeck.admin.output import write_json, write_table
from bamboodeck.admin.session import Session, with_change, with_session


@click.group()
def version() -> None:
    """Withdraw versions."""


@click.group()
def rollout() -> None:
    """Start, show and end roll-outs of versions."""


@version.command()
@click.argument('name', metavar='MODEL@VERSION')
@with_change
def withdraw(
    session: Session,
    name: str,
    wait_s: float,
    change_id: str,
) -> None:
    """Stop sending new work to a version everywhere."""
    path = f'versions/{quote(name)}/withdraw'
    _post_change(session, path, change_id, wait_s)


@rollout.command()
@click.argument('name', metavar='MODEL@VERSION')
@click.option('--baseline', required=True, metavar='MODEL@VERSION')
@click.option(
    '--max-exposed-weight',
    type=click.FloatRange(0, min_open=True),
    required=True,
    help='Limit on the weight of requests that it serves until proven.',
)
@click.option('--revive', is_flag=True, help='Bring back a withdrawn version.')
@with_change
def start(
    session: Session,
    name: str,
    baseline: str,
    max_exposed_weight: float,
    *,
    revive: bool,
    wait_s: float,
    change_id: str,
) -> None:
    """Start a roll-out: give a version a limited share of new work."""
    body = StartRollout(name, baseline, max_exposed_weight, change_id, revive)
    make_change(
        session,
        ChangeRequest(Method.POST, 'rollouts', body, change_id, wait_s),
    )


@rollout.command()
@with_session
def status(session: Session) -> None:
    """Show the roll-outs and their progress."""
    view: RolloutsView = session.client.call(
        Method.GET,
        'rollouts',
        RolloutsView,
    )
    if session.as_json:
        write_json(session.stdout, view)
        return
    rows = [
        (
            row.version,
            row.baseline,
            row.stage,
            f'{row.exposed_weight:g}/{row.max_exposed_weight:g}',
        )
        for row in view.rollouts
    ]
    headings = ('version', 'baseline', 'stage', 'exposed weight')
    write_table(session.stdout, headings, rows)


@rollout.command()
@click.argument('name', metavar='MODEL@VERSION')
@with_change
def halt(session: Session, name: str, wait_s: float, change_id: str) -> None:
    """End a roll-out by withdrawing its version."""
    path = f'rollouts/{quote(name)}/halt'
    _post_change(session, path, change_id, wait_s)


@rollout.command()
@click.argument('name', metavar='MODEL@VERSION')
@with_change
def finish(session: Session, name: str, wait_s: float, change_id: str) -> None:
    """End a roll-out by making its version steady."""
    path = f'rollouts/{quote(name)}/finish'
    _post_change(session, path, change_id, wait_s)


def _post_change(
    session: Session,
    path: str,
    change_id: str,
    wait_s: float,
) -> None:
    body = MakeChange(change_id)
    make_change(
        session,
        ChangeRequest(Method.POST, path, body, change_id, wait_s),
    )
