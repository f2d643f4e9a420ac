"""Test the measurement of slopes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.bench.slopes import samples
from bamboodeck.bench.slopes.fitting import fit_slope
from bamboodeck.bench.slopes.messages import (
    FORMAT,
    Point,
    SlopeReport,
    SlopesError,
    decode_report,
    encode_report,
)
from bamboodeck.bench.slopes.orders import run_orders
from bamboodeck.bench.slopes.plan import (
    BYTES,
    CountedPlan,
    Subject,
    TimedPlan,
    take_points,
)
from bamboodeck.bench.slopes.run import list_plans
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.invariants import Invariants

SUBJECT = Subject('sample', 'a sample', 'items', BYTES)


def fit(*measured: float):
    """Fit a line through points at sizes 1, 2, 3 and so on."""
    points = [Point(at, each) for at, each in enumerate(measured, 1)]
    return fit_slope(SUBJECT, points)


class TestFit:
    """Show lines and how well they fit."""

    def test_exact_line(self) -> None:
        """Find the parts of a line."""
        slope = fit(5, 8, 11, 14)
        assert (slope.per_size, slope.fixed) == (3, 2)
        assert (slope.r_squared, slope.worst_residual) == (1, 0)
        assert slope.at(100) == 302

    def test_curve_shows_in_its_residual(self) -> None:
        """Tell that a square is no line."""
        slope = fit(1, 4, 9, 16)
        assert slope.r_squared < 0.99
        assert slope.worst_residual > 0.1

    def test_flat_line(self) -> None:
        """Fit what does not grow."""
        slope = fit(7, 7, 7)
        assert (slope.per_size, slope.fixed) == (0, 7)
        assert slope.r_squared == 1

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.floats(-1000, 1000),
        st.floats(-1000, 1000),
        st.sets(st.integers(0, 10_000), min_size=3, max_size=8),
    )
    def test_any_line(
        self,
        fixed: float,
        per_size: float,
        sizes: set[int],
    ) -> None:
        """Give back every line that the points lie on."""
        points = [Point(size, fixed + per_size * size) for size in sizes]
        slope = fit_slope(SUBJECT, points)
        for point in points:
            assert slope.at(point.size) == pytest.approx(
                point.measured,
                rel=1e-3,
                abs=1,
            )

    def test_too_few_sizes(self) -> None:
        """Refuse a line through two sizes, however often measured."""
        points = [Point(1, 1), Point(2, 2), Point(2, 3)]
        with pytest.raises(SlopesError, match='has 2 sizes; at least 3'):
            fit_slope(SUBJECT, points)

    def test_point_not_finite(self) -> None:
        """Refuse a point that is no number."""
        with pytest.raises(SlopesError, match='a point not finite'):
            fit(1, float('nan'), 3)


class TestPlans:
    """Show what is measured."""

    def test_three_sizes_or_more_each(self) -> None:
        """Name each slope once and measure it at several sizes."""
        plans = list_plans()
        names = [plan.subject.name for plan in plans]
        assert len(set(names)) == len(names)
        assert all(len(set(plan.sizes)) >= 3 for plan in plans)

    def test_polls_run(self) -> None:
        """Poll engines with the parts that an entry process has."""
        plans = {plan.subject.name: plan for plan in list_plans()}
        plan = plans['load_poll']
        plan.prepare(plan.sizes[0])()

    def test_log_lines_are_written(self) -> None:
        """Write decisions as the entry process does."""
        plans = {plan.subject.name: plan for plan in list_plans()}
        for name in ('log_line_bytes', 'log_line_json_bytes'):
            assert plans[name].count(1) > 0

    def test_work_is_prepared_for_each_round(self) -> None:
        """Start every round from a fresh state, after one to warm up."""
        prepared: list[int] = []

        def prepare(size: int):
            prepared.append(size)
            return list

        points = take_points(TimedPlan(SUBJECT, (1, 2, 3), prepare), rounds=2)
        assert prepared == [1, 1, 2, 3, 1, 2, 3]
        assert [point.size for point in points] == [1, 2, 3]

    def test_counted(self) -> None:
        """Take a number for each size."""
        plan = CountedPlan(SUBJECT, (1, 2, 3), lambda size: size * 10)
        assert take_points(plan, rounds=1)[-1] == Point(3, 30)

    def test_refused_sample_is_not_measured(self) -> None:
        """Fail rather than time the refusal of a document."""
        replica = ConfigurationReplica(Invariants(None, raising=True), 0)
        with pytest.raises(SlopesError, match='not accepted'):
            samples.put_in_force(replica, b'{}')
        samples.put_in_force(replica, samples.build_body(3))
        assert len(replica.configuration.engines) == 3

    def test_orders_are_all_recorded(self) -> None:
        """Share writes in one process and hardly in many."""
        alone = run_orders(50, 1)
        many = run_orders(50, 1300, linger_s=0)
        assert alone.written_bytes == pytest.approx(many.written_bytes, rel=0.1)
        assert 2 * alone.writes_per_s < many.writes_per_s


class TestReport:
    """Show the file of a run."""

    def test_round_trip(self) -> None:
        """Read back what was written."""
        report = SlopeReport(FORMAT, '3.11', 3, (fit(1, 2, 3),))
        assert decode_report(encode_report(report)) == report
        assert report.slope('sample').per_size == 1

    def test_unknown_slope(self) -> None:
        """Name the slope that is missing."""
        report = SlopeReport(FORMAT, '3.11', 3, ())
        with pytest.raises(SlopesError, match='"other" was not measured'):
            report.slope('other')

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'{',
            b'\xff',
            b'[]',
            b'{"format": 1}',
            b'{"format": 9, "python": "", "rounds": 1, "slopes": []}',
        ],
    )
    def test_bad_file(self, body: bytes) -> None:
        """Refuse what no run has written."""
        with pytest.raises(SlopesError, match='slopes'):
            decode_report(body)
