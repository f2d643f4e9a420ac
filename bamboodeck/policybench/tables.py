"""Compare policies in a table."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from bamboodeck.policybench.outcome import Outcome

BEST = 'best'
BOUND = 'clairvoyant'
CLASS_BOUND = 'clairvoyant-class'


@dataclass(frozen=True)
class PolicyRow:
    """Store the medians and worst values of a policy over its seeds."""

    policy: str
    seeds: int
    cost_credits: float
    best_cost_ratio: float | None
    best_cost_ratio_worst: float | None
    bound_cost_ratio: float | None
    bound_cost_ratio_worst: float | None
    class_bound_cost_ratio: float | None
    class_bound_cost_ratio_worst: float | None
    mean_score: float
    worst_gap: float
    runs_met: int
    exposed_weight: float
    exposed_weight_worst: float
    in_deadline_share: float
    first_token_p95_s: float
    answer_p95_s: float


COLUMNS = (
    ('policy', 'policy'),
    ('seeds', 'seeds'),
    ('cost', 'cost_credits'),
    ('/best', 'best_cost_ratio'),
    ('worst', 'best_cost_ratio_worst'),
    ('/bound', 'bound_cost_ratio'),
    ('worst', 'bound_cost_ratio_worst'),
    ('/class bound', 'class_bound_cost_ratio'),
    ('worst', 'class_bound_cost_ratio_worst'),
    ('score', 'mean_score'),
    ('worst gap', 'worst_gap'),
    ('runs met', 'runs_met'),
    ('exposed', 'exposed_weight'),
    ('worst', 'exposed_weight_worst'),
    ('in deadline', 'in_deadline_share'),
    ('first p95 s', 'first_token_p95_s'),
    ('answer p95 s', 'answer_p95_s'),
)


def summarise(outcomes: Sequence[Outcome]) -> list[PolicyRow]:
    """Return a row for each policy, in the order of their first runs."""
    by_policy: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_policy.setdefault(outcome.policy, []).append(outcome)
    costs = {(each.policy, each.seed): each.cost_credits for each in outcomes}
    return [_row(name, runs, costs) for name, runs in by_policy.items()]


def format_cells(row: PolicyRow) -> list[str]:
    """Return the cells of a row, formatted in column order."""
    return [_format(getattr(row, name)) for _, name in COLUMNS]


def format_table(outcomes: Sequence[Outcome]) -> str:
    """Return a plain-text table, one row for each policy."""
    lines = [[title for title, _ in COLUMNS]]
    lines += [format_cells(row) for row in summarise(outcomes)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.rjust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    )


def _row(
    name: str,
    runs: Sequence[Outcome],
    costs: dict[tuple[str, int], float],
) -> PolicyRow:
    best = _ratios(runs, BEST, costs)
    bound = _ratios(runs, BOUND, costs)
    class_bound = _ratios(runs, CLASS_BOUND, costs)
    exposures = [run.exposed_weight for run in runs]
    return PolicyRow(
        policy=name,
        seeds=len(runs),
        cost_credits=median(run.cost_credits for run in runs),
        best_cost_ratio=median(best) if best else None,
        best_cost_ratio_worst=max(best, default=None),
        bound_cost_ratio=median(bound) if bound else None,
        bound_cost_ratio_worst=max(bound, default=None),
        class_bound_cost_ratio=median(class_bound) if class_bound else None,
        class_bound_cost_ratio_worst=max(class_bound, default=None),
        mean_score=median(run.mean_score for run in runs),
        worst_gap=min(run.worst_gap for run in runs),
        runs_met=sum(run.targets_met == run.targets for run in runs),
        exposed_weight=median(exposures),
        exposed_weight_worst=max(exposures),
        in_deadline_share=median(
            run.in_deadline / max(run.requests, 1) for run in runs
        ),
        first_token_p95_s=median(run.first_token_p95_s for run in runs),
        answer_p95_s=median(run.answer_p95_s for run in runs),
    )


def _ratios(
    runs: Sequence[Outcome],
    baseline: str,
    costs: dict[tuple[str, int], float],
) -> list[float]:
    ratios = []
    for run in runs:
        base = costs.get((baseline, run.seed))
        if base:
            ratios.append(run.cost_credits / base)
    return ratios


def _format(cell: object) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, float):
        return f'{cell:.3f}' if abs(cell) < 100 else f'{cell:.0f}'
    return str(cell)
