"""Format the cost breakdown of runs."""

from collections import Counter
from collections.abc import Sequence

from bamboodeck.policybench.outcome import Outcome

_TITLES = ('policy', 'role', 'class', 'version', 'attempts', 'credits', 'share')


def format_cost_breakdown(outcomes: Sequence[Outcome]) -> str:
    """Return a table of mean costs by policy, role, class and version."""
    lines = [list(_TITLES)]
    names = dict.fromkeys(outcome.policy for outcome in outcomes)
    for name in names:
        runs = [each for each in outcomes if each.policy == name]
        lines += _rows(name, runs)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _rows(name: str, runs: Sequence[Outcome]) -> list[list[str]]:
    attempts: Counter[tuple[str, str, str]] = Counter()
    credits: Counter[tuple[str, str, str]] = Counter()
    for run in runs:
        for part in run.parts:
            key = (part.role, part.request_class, part.version)
            attempts[key] += part.attempts
            credits[key] += part.cost_credits
    total = sum(credits.values()) or 1
    return [
        [
            name,
            *key,
            f'{attempts[key] / len(runs):.0f}',
            f'{credits[key] / len(runs):.3f}',
            f'{credits[key] / total:.3f}',
        ]
        for key in sorted(credits)
    ]
