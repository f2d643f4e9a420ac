"""Define the commands of the policy experiments."""

import sys
from pathlib import Path

import click
import msgspec

from bamboodeck.policybench.outcome import Outcome
from bamboodeck.policybench.parts import format_cost_breakdown
from bamboodeck.policybench.policies import POLICIES
from bamboodeck.policybench.reading import read_workload
from bamboodeck.policybench.report import read_outcomes, render_report
from bamboodeck.policybench.simulation import run_policy
from bamboodeck.policybench.tables import format_table
from bamboodeck.policybench.timing import time_decisions
from bamboodeck.policybench.workload import Workload

WORKLOADS = Path(__file__).parent / 'workloads'
_Names = tuple[str, ...]


class WorkloadPath(click.ParamType):
    """Accept the path of a workload file or the name of a shipped one."""

    name = 'file'

    def convert(self, value, param, ctx) -> Path:
        """Return the path; fail if the file does not exist."""
        for path in (Path(value), WORKLOADS / f'{value}.ini'):
            if path.is_file():
                return path
        shipped = ', '.join(
            sorted(each.stem for each in WORKLOADS.glob('*.ini'))
        )
        return self.fail(
            f'file "{value}" does not exist; shipped workloads: {shipped}',
            param,
            ctx,
        )


@click.command()
@click.option('--workload', type=WorkloadPath(), required=True)
@click.option(
    '--policy',
    'names',
    type=click.Choice(sorted(POLICIES)),
    multiple=True,
    help='Can be repeated; default: all policies.',
)
@click.option('--seed', 'seeds', type=int, multiple=True, default=(1,))
@click.option(
    '--json', 'as_json', is_flag=True, help='Print one JSON line per run.'
)
@click.option(
    '--parts',
    'with_parts',
    is_flag=True,
    help='Print the cost by role, class and version.',
)
def policy(
    workload: Path,
    names: _Names,
    seeds: tuple[int, ...],
    as_json: bool,
    with_parts: bool,
) -> None:
    """Run policies on a workload, on a virtual clock."""
    loaded = read_workload(workload)
    outcomes = []
    for seed in seeds:
        for name in names or tuple(POLICIES):
            outcome = _run(loaded, name, seed)
            outcomes.append(outcome)
            if as_json:
                click.echo(msgspec.json.encode(outcome))
    if not as_json:
        click.echo(format_table(outcomes))
    if with_parts and not as_json:
        click.echo(format_cost_breakdown(outcomes))


@click.command()
@click.argument(
    'results',
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    nargs=-1,
    required=True,
)
@click.option(
    '--output',
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    required=True,
)
def report(results: tuple[Path, ...], output: Path) -> None:
    """Write an HTML report from the JSON lines of earlier runs."""
    outcomes = [outcome for path in results for outcome in read_outcomes(path)]
    output.write_text(render_report(outcomes))
    click.echo(f'{output}: {len(outcomes)} runs')


@click.command()
@click.option('--workload', type=WorkloadPath(), default='letter')
@click.option('--engines', default=480, show_default=True, help='Per zone.')
@click.option('--zones', default=1, show_default=True)
@click.option('--decisions', default=2000, show_default=True)
@click.option('--json', 'as_json', is_flag=True)
def decision(
    workload: Path,
    engines: int,
    zones: int,
    decisions: int,
    as_json: bool,
) -> None:
    """Time routing decisions, without and with new ratings in between."""
    loaded = read_workload(workload)
    for rated_between in (False, True):
        timed = time_decisions(
            loaded,
            engines,
            zones,
            decisions,
            rated_between=rated_between,
        )
        if as_json:
            click.echo(msgspec.json.encode(timed))
            continue
        click.echo(
            f'{timed.engines_per_zone} engines in each of {timed.zones} zones,'
            f' new ratings between: {rated_between},'
            f' median {timed.median_us:.0f} us, p99 {timed.p99_us:.0f} us',
        )


def _run(workload: Workload, name: str, seed: int) -> Outcome:
    duration_s = workload.settings.duration_s
    with click.progressbar(
        length=int(duration_s),
        label=f'{name} seed {seed}',
        file=sys.stderr,
    ) as bar:
        return run_policy(
            workload,
            name,
            POLICIES[name],
            seed,
            lambda now_s: bar.update(int(now_s) - bar.pos),
        )
