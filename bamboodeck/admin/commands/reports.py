"""Show nodes, placement, credits, bills and decisions."""

from urllib.parse import quote, urlencode

import click

from bamboodeck.admin.calls import Method
from bamboodeck.admin.confirmation import write_zones
from bamboodeck.admin.messages import (
    BillsView,
    CreditsView,
    ExplainView,
    PlacementView,
    StatusView,
)
from bamboodeck.admin.output import (
    format_age,
    format_credits,
    format_time,
    write_json,
    write_table,
)
from bamboodeck.admin.session import Session, with_session


@click.command()
@click.option(
    '--revision', type=click.IntRange(1), help='Revision to check for.'
)
@with_session
def status(session: Session, revision: int | None) -> None:
    """Show the nodes and the zones in which a revision is in force."""
    path = 'status'
    if revision is not None:
        path = f'status?revision={revision}'
    view: StatusView = session.client.call(Method.GET, path, StatusView)
    if session.as_json:
        write_json(session.stdout, view)
        return
    session.stdout.write(f'revision {view.revision}\n')
    write_zones(session, view.zones)
    rows = [
        (
            row.node,
            row.zone,
            row.role,
            row.state,
            str(row.revision),
            format_age(row.configuration_age_s),
            format_age(row.report_age_s),
        )
        for row in view.nodes
    ]
    headings = ('node', 'zone', 'role', 'state', 'revision', 'age', 'heard')
    session.stdout.write('\n')
    write_table(session.stdout, headings, rows)


@click.command()
@with_session
def placement(session: Session) -> None:
    """Show the versions on each engine, as known to one entry host."""
    view: PlacementView = session.client.call(
        Method.GET,
        'placement',
        PlacementView,
    )
    if session.as_json:
        write_json(session.stdout, view)
        return
    rows = [
        (
            row.engine,
            row.zone,
            'yes' if row.usable else 'no',
            str(row.slots or '-'),
            ', '.join(row.versions),
        )
        for row in view.engines
    ]
    headings = ('engine', 'zone', 'usable', 'slots', 'versions')
    write_table(session.stdout, headings, rows)


@click.command('credits')
@with_session
def show_credits(session: Session) -> None:
    """Show the credits of the providers and the current credit price."""
    view: CreditsView = session.client.call(Method.GET, 'credits', CreditsView)
    if session.as_json:
        write_json(session.stdout, view)
        return
    rows = [
        (
            row.provider,
            format_credits(row.credits),
            format_credits(row.spent_credits),
            format_credits(row.remaining_credits),
            format_time(row.expires_s),
            f'{row.credit_price:.3f}',
        )
        for row in view.providers
    ]
    headings = ('provider', 'credits', 'spent', 'remaining', 'expires', 'price')
    write_table(session.stdout, headings, rows)


@click.command()
@click.option('--customer', default='', help='One customer only.')
@with_session
def bills(session: Session, customer: str) -> None:
    """Show the bills of customers."""
    query = urlencode({'customer': customer})
    view: BillsView = session.client.call(
        Method.GET,
        f'bills?{query}',
        BillsView,
    )
    if session.as_json:
        write_json(session.stdout, view)
        return
    session.stdout.write(f'as of {format_time(view.as_of_s)}\n')
    rows = [
        (
            bill.customer,
            str(bill.requests),
            str(bill.input_tokens),
            str(bill.output_tokens),
            format_credits(bill.charged_credits),
        )
        for bill in view.bills
    ]
    headings = ('customer', 'requests', 'input', 'output', 'credits')
    write_table(session.stdout, headings, rows)


@click.command()
@click.argument('request_id')
@with_session
def explain(session: Session, request_id: str) -> None:
    """Show the decisions about a request."""
    path = f'explain/{quote(request_id, safe="")}'
    view: ExplainView = session.client.call(Method.GET, path, ExplainView)
    if session.as_json:
        write_json(session.stdout, view)
        return
    rows = [
        (
            format_time(row.decided_s),
            row.node,
            row.event,
            row.version,
            row.reason,
            row.detail,
        )
        for row in view.decisions
    ]
    headings = ('time', 'node', 'event', 'version', 'reason', 'detail')
    write_table(session.stdout, headings, rows)
