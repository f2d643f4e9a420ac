"""Define the command of the placement experiment."""

from pathlib import Path

import click
import msgspec

from bamboodeck.policybench.commands import WorkloadPath
from bamboodeck.policybench.placers import PLACERS
from bamboodeck.policybench.placing import run_placement
from bamboodeck.policybench.reading import read_workload


@click.command()
@click.option('--workload', type=WorkloadPath(), default='shifting')
@click.option(
    '--placement',
    'names',
    type=click.Choice(PLACERS),
    multiple=True,
    default=PLACERS,
)
@click.option('--seed', 'seeds', type=int, multiple=True, default=(1,))
def placement(
    workload: Path,
    names: tuple[str, ...],
    seeds: tuple[int, ...],
) -> None:
    """Compare placers; print one JSON line per run."""
    loaded = read_workload(workload)
    for seed in seeds:
        for name in names:
            click.echo(msgspec.json.encode(run_placement(loaded, name, seed)))
