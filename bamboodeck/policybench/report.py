"""Render outcomes as an HTML page with tables and plots."""

import base64
import io
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import jinja2
import msgspec
from matplotlib.figure import Figure

from bamboodeck.errors import InputError
from bamboodeck.policybench.outcome import Outcome
from bamboodeck.policybench.tables import COLUMNS, format_cells, summarise

_PLOTS = (
    ('cost_credits', 'cost in credits'),
    ('worst_gap', 'lowest mean score minus target'),
    ('exposed_weight', 'weight exposed to bad versions'),
    ('first_token_p95_s', 'first token at p95 in seconds'),
)
_FIGURE_SIZE = (12, 8)


class ResultsError(InputError):
    """Report a results file with invalid content."""


@dataclass(frozen=True)
class Section:
    """Store the page section of one workload."""

    workload: str
    titles: tuple[str, ...]
    rows: list[list[str]]
    plot: str


def read_outcomes(path: Path) -> list[Outcome]:
    """Read the JSON lines of runs; raise `ResultsError` on other content."""
    outcomes = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            outcomes.append(msgspec.json.decode(line, type=Outcome))
        except msgspec.MsgspecError as error:
            raise ResultsError(f'{path}, line {number}: {error}') from error
    return outcomes


def render_report(outcomes: Sequence[Outcome]) -> str:
    """Return the HTML page, with one section for each workload."""
    by_workload: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_workload.setdefault(outcome.workload, []).append(outcome)
    sections = [
        Section(
            workload,
            tuple(title for title, _ in COLUMNS),
            [format_cells(row) for row in summarise(runs)],
            _plot(runs),
        )
        for workload, runs in by_workload.items()
    ]
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(Path(__file__).parent),
        autoescape=True,
    )
    return environment.get_template('report.html').render(sections=sections)


def _plot(runs: Sequence[Outcome]) -> str:
    """Return box plots of the runs as a base64-encoded PNG."""
    policies = list({run.policy: None for run in runs})
    figure = Figure(figsize=_FIGURE_SIZE, layout='constrained')
    for axes, (name, title) in zip(
        figure.subplots(2, 2).flat,
        _PLOTS,
        strict=True,
    ):
        axes.boxplot(
            [
                [getattr(run, name) for run in runs if run.policy == policy]
                for policy in policies
            ],
            orientation='horizontal',
        )
        axes.set_yticks(range(1, len(policies) + 1), policies)
        axes.invert_yaxis()
        axes.set_title(title)
    image = io.BytesIO()
    figure.savefig(image, format='png')
    return base64.b64encode(image.getvalue()).decode()
