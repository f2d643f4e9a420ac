"""Test policy runs on a virtual clock, and the commands."""

from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from bamboodeck.policybench.commands import (
    WORKLOADS,
    decision,
    policy,
    report,
)
from bamboodeck.policybench.outcome import Outcome
from bamboodeck.policybench.policies import POLICIES
from bamboodeck.policybench.reading import read_workload
from bamboodeck.policybench.report import ResultsError, read_outcomes
from bamboodeck.policybench.simulation import run_policy
from bamboodeck.policybench.timing import DecisionTime
from bamboodeck.policybench.workload import (
    EnginesLost,
    Fault,
    RatingOut,
    VersionBad,
    Workload,
    ZoneCut,
)

SHORT_S = 150.0


def short(*faults: Fault, duration_s: float = SHORT_S) -> Workload:
    """Return the `medena` workload with a shorter duration and faults."""
    workload = read_workload(WORKLOADS / 'medena.ini')
    return replace(
        workload,
        settings=replace(workload.settings, duration_s=duration_s),
        faults=faults,
    )


def run(name: str, workload: Workload) -> Outcome:
    """Run a policy with a fixed seed."""
    return run_policy(workload, name, POLICIES[name], 3)


class TestRunPolicy:
    """Check complete runs of the policies."""

    @pytest.mark.parametrize('name', sorted(POLICIES))
    def test_every_request_ends(self, name: str) -> None:
        """Count each request once, with equal results for equal seeds."""
        outcome = run(name, short())
        ended = outcome.answered + outcome.refused + outcome.failed
        assert ended == outcome.requests
        assert outcome.answered > 0
        assert outcome == run(name, short())

    def test_cost(self) -> None:
        """Cost less than the best version and no less than the bound."""
        workload = short()
        ours = run('bamboodeck', workload).cost_credits
        assert ours < run('best', workload).cost_credits
        assert ours > run('clairvoyant', workload).cost_credits

    @pytest.mark.parametrize(
        'fault',
        [
            RatingOut(60, 120),
            EnginesLost('gorenjska-1', 2, 60, 120),
            ZoneCut('primorska-1', 60, 120),
        ],
    )
    def test_faults(self, fault: Fault) -> None:
        """Keep answering during a fault."""
        outcome = run('bamboodeck', short(fault))
        assert outcome.answered > 0.98 * outcome.requests

    def test_no_cascade_without_ratings(self) -> None:
        """Start hardly any cascades while no ratings arrive."""
        outcome = run('bamboodeck', short(RatingOut(0), duration_s=240))
        assert outcome.cascaded < 0.05 * outcome.requests
        assert outcome.targets_met == outcome.targets


class TestSafety:
    """Check how far a bad version is exposed."""

    def test_turned_bad(self) -> None:
        """Withdraw a version whose quality drops, and no other."""
        bad = VersionBad('press-small@3', 0.2, 240)
        workload = short(bad, duration_s=480)
        outcome = run('bamboodeck', workload)
        assert set(outcome.withdrawn_s) == {'press-small@3'}
        assert 240 < outcome.withdrawn_s['press-small@3'] < 480
        exposed = run('round-robin', workload).exposed_weight
        assert outcome.exposed_weight < 0.25 * exposed

    def test_bad_rollout(self) -> None:
        """Halt a bad roll-out within its exposure limit."""
        workload = read_workload(WORKLOADS / 'vandermeulen.ini')
        settings = replace(workload.settings, duration_s=300)
        workload = replace(
            workload,
            settings=settings,
            faults=(VersionBad('chat-mid@4', 0.1, 0),),
        )
        outcome = run('bamboodeck', workload)
        assert 'chat-mid@4' in outcome.withdrawn_s
        assert 0 < outcome.exposed_weight < 200


class TestCommands:
    """Check the commands."""

    def test_json_and_report(self, tmp_path: Path) -> None:
        """Write JSON lines, and an HTML report from them."""
        text = (WORKLOADS / 'medena.ini').read_text()
        workload = tmp_path / 'short.ini'
        workload.write_text(text.replace('_s = 3600', '_s = 60'))
        runner = CliRunner()
        ran = runner.invoke(
            policy,
            ['--workload', str(workload), '--policy', 'best', '--json'],
        )
        assert ran.exit_code == 0
        outcome = msgspec.json.decode(ran.stdout, type=Outcome)
        assert outcome.policy == 'best'
        results = tmp_path / 'results.jsonl'
        results.write_text(ran.stdout)
        page = tmp_path / 'page.html'
        ran = runner.invoke(report, [str(results), '--output', str(page)])
        assert ran.exit_code == 0
        assert '<td>best</td>' in page.read_text()

    def test_decision(self) -> None:
        """Time decisions with and without ratings in between."""
        arguments = ['--engines', '20', '--decisions', '20', '--json']
        ran = CliRunner().invoke(decision, arguments)
        assert ran.exit_code == 0
        lines = ran.stdout.splitlines()
        timed = [msgspec.json.decode(line, type=DecisionTime) for line in lines]
        assert [each.rated_between for each in timed] == [False, True]
        assert all(each.median_us > 0 for each in timed)

    def test_parts(self, tmp_path: Path) -> None:
        """Account for the whole cost of a run."""
        text = (WORKLOADS / 'medena.ini').read_text()
        workload = tmp_path / 'short.ini'
        workload.write_text(text.replace('_s = 3600', '_s = 60'))
        arguments = ['--workload', str(workload), '--policy', 'bamboodeck']
        runner = CliRunner()
        ran = runner.invoke(policy, [*arguments, '--json'])
        outcome = msgspec.json.decode(ran.stdout, type=Outcome)
        parts_credits = sum(part.cost_credits for part in outcome.parts)
        assert parts_credits == pytest.approx(outcome.cost_credits)
        ran = runner.invoke(policy, [*arguments, '--parts'])
        assert 'cascade_dropped' in ran.stdout

    def test_bad_results(self, tmp_path: Path) -> None:
        """Name the invalid line of a results file."""
        path = tmp_path / 'results.jsonl'
        path.write_text('{"workload": 3}\n')
        with pytest.raises(ResultsError, match='line 1'):
            read_outcomes(path)

    def test_unknown_workload(self) -> None:
        """List exactly the shipped workloads."""
        ran = CliRunner().invoke(policy, ['--workload', 'atlantis'])
        assert ran.exit_code == 2
        shipped = 'letter, medena, shifting, vandermeulen'
        assert f'shipped workloads: {shipped}' in ' '.join(ran.output.split())
