"""The gateway-soak command."""

import sys
import tempfile
from pathlib import Path

import click
import msgspec

from bamboodeck.bench.gateway_soak.run import GatewaySoak, SoakReport
from bamboodeck.environment import Environment
from bamboodeck.exit_status import ExitStatus
from bamboodeck.loop.program import Loop, ignore_broken_pipes

MIN_DURATION_S = 5
MAX_DURATION_S = 86_400
MAX_HOSTS = 200


@click.command('gateway-soak')
@click.option('--seed', 'seeds', type=click.IntRange(0), multiple=True)
@click.option(
    '--duration-s',
    type=click.FloatRange(MIN_DURATION_S, MAX_DURATION_S),
    default=30,
    show_default=True,
    help='Duration of faults and load, without start-up and recovery.',
)
@click.option('--hosts', type=click.IntRange(1, MAX_HOSTS), default=6)
@click.option(
    '--logs',
    type=click.Path(path_type=Path, file_okay=False),
    help='Keep the logs of each seed in this directory.',
)
@click.option('--json', 'as_json', is_flag=True)
def gateway_soak(
    seeds: tuple[int, ...],
    duration_s: float,
    hosts: int,
    logs: Path | None,
    as_json: bool,
) -> None:
    """Run gateways under random load and faults and check guarantees.

    Exits with status 6 if any guarantee was violated.
    """
    ignore_broken_pipes()
    violated = False
    for seed in seeds or (1,):
        report = _run(seed, duration_s, hosts, logs)
        violated = violated or bool(report.violations)
        if as_json:
            click.echo(msgspec.json.encode(report))
        else:
            click.echo('\n'.join(format_report(report)))
    if violated:
        sys.exit(ExitStatus.VIOLATION)


def format_report(report: SoakReport) -> list[str]:
    """Format a report as lines of text."""
    statuses = _format_counts(report.statuses)
    faults = _format_counts(report.faults)
    lines = [
        f'seed {report.seed}: {report.requests} requests, '
        f'{len(report.violations)} violations',
        f'  answers {statuses}',
        f'  faults {faults}',
    ]
    lines.extend(
        f'  violated: {each.promise}: {each.subject} {each.detail}'
        for each in report.violations
    )
    return lines


def _format_counts(counts: dict[str, int]) -> str:
    return ' '.join(f'{kind}:{count}' for kind, count in counts.items())


def _run(
    seed: int,
    duration_s: float,
    hosts: int,
    logs: Path | None,
) -> SoakReport:
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch) if logs is None else logs / f'seed-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        loop = Loop(Environment())
        return GatewaySoak(loop, folder, seed, hosts).run(duration_s)
