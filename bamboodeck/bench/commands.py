"""Define the commands of the bench program."""

import click
import msgspec

from bamboodeck.bench.capacity.commands import capacity
from bamboodeck.bench.control import ControlReadError, ControlRun
from bamboodeck.bench.gateway_soak.commands import gateway_soak
from bamboodeck.bench.load import LoadPlan, LoadResult, LoadRun
from bamboodeck.bench.option_types import ADDRESS
from bamboodeck.bench.relay.commands import relay, relay_load
from bamboodeck.bench.slopes.commands import slopes
from bamboodeck.bench.soak.commands import soak
from bamboodeck.environment import Environment
from bamboodeck.http.messages import Address
from bamboodeck.policybench.commands import decision, policy, report


@click.group(name='bamboodeck-bench')
@click.version_option(package_name='bamboodeck')
def bench() -> None:
    """Send load, measure and try policies."""


@bench.command()
@click.option('--target', type=ADDRESS, required=True)
@click.option('--key', default='', help="The customer's API key.")
@click.option('--model', default='auto', show_default=True)
@click.option('--class', 'class_name', default='', help='Request class.')
@click.option('--requests-per-s', default=5.0, show_default=True)
@click.option(
    '--duration-s',
    default=5.0,
    show_default=True,
    type=click.FloatRange(0, 3600),
)
@click.option('--max-tokens', default=60, show_default=True)
@click.option('--prompt', default='Write a short note on', show_default=True)
@click.option(
    '--metrics',
    type=ADDRESS,
    help="The entry process's inner address; tells its processor time.",
)
@click.option('--json', 'as_json', is_flag=True)
def load(as_json: bool, metrics: Address | None, **options) -> None:
    """Send streamed chat requests to a target and time the answers."""
    outcome = LoadRun(Environment(), LoadPlan(**options), metrics).run()
    if as_json:
        click.echo(msgspec.json.encode(outcome))
        return
    for line in _describe(outcome):
        click.echo(line)


@bench.command()
@click.option('--target', 'targets', type=ADDRESS, required=True, multiple=True)
@click.option(
    '--duration-s',
    default=30.0,
    show_default=True,
    type=click.FloatRange(1, 3600),
)
@click.option('--json', 'as_json', is_flag=True)
def control(
    targets: tuple[Address, ...],
    duration_s: float,
    as_json: bool,
) -> None:
    """Read what processes spend on control, at their inner addresses."""
    try:
        uses = ControlRun(Environment(), targets, duration_s).run()
    except ControlReadError as error:
        raise click.ClickException(str(error))
    if as_json:
        click.echo(msgspec.json.encode(uses))
        return
    click.echo('target                 sent KB/s  received KB/s  core %     MB')
    for use in uses:
        click.echo(
            f'{use.target:22} {use.sent_kb_per_s:9} {use.received_kb_per_s:14}'
            f' {use.core_percent:7} {use.resident_mb:6}',
        )


def _describe(outcome: LoadResult) -> list[str]:
    ends = ', '.join(
        f'{count} {name}' for name, count in sorted(outcome.outcomes.items())
    )
    first, gap = outcome.first_token, outcome.token_gap
    return [
        f'requests sent      {outcome.sent}',
        f'ends               {ends}',
        f'tokens             {outcome.tokens} ({outcome.tokens_per_s}/s)',
        f'first token, ms    p50 {first.p50_ms}  p95 {first.p95_ms}',
        f'between tokens, ms p50 {gap.p50_ms}  p95 {gap.p95_ms}',
        f'processor          {outcome.cores:.3f} of a core',
    ]


bench.add_command(policy)
bench.add_command(decision)
bench.add_command(report)
bench.add_command(slopes)
bench.add_command(capacity)
bench.add_command(relay)
bench.add_command(relay_load)
bench.add_command(soak)
bench.add_command(gateway_soak)
