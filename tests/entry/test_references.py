"""Test the references that new answers are compared with."""

import random

from bamboodeck.entry.references import SCORE_DELAY_COUNT, AnswerStatistics

CELL = ('small@1', 'desk', 'chat')
MIN_COUNT = 30


def add_scores(statistics: AnswerStatistics, count: int) -> None:
    """Add good scores."""
    rng = random.Random(1)
    for _ in range(count):
        statistics.add_score(CELL, rng.uniform(0.9, 1))


class TestAnswerStatistics:
    """Build references from enough delayed scores only."""

    def test_no_reference_before_enough_scores(self) -> None:
        """Return no reference for fewer than `min_count` folded scores."""
        statistics = AnswerStatistics()
        add_scores(statistics, MIN_COUNT + SCORE_DELAY_COUNT - 1)
        assert statistics.own_reference(CELL, MIN_COUNT) is None
        add_scores(statistics, 1)
        reference = statistics.own_reference(CELL, MIN_COUNT)
        assert 0.9 < reference.rating < 0.95

    def test_recent_bad_scores_do_not_lower_the_reference(self) -> None:
        """Keep the reference while the bad scores are still queued."""
        statistics = AnswerStatistics()
        add_scores(statistics, MIN_COUNT + SCORE_DELAY_COUNT)
        before = statistics.own_reference(CELL, MIN_COUNT).rating
        for _ in range(SCORE_DELAY_COUNT - MIN_COUNT // 2):
            statistics.add_score(CELL, 0.1)
        assert statistics.own_reference(CELL, MIN_COUNT).rating > before - 0.02

    def test_failed_and_slow_runs_shift_the_rates(self) -> None:
        """Move the rates from the prior towards the observed ones."""
        statistics = AnswerStatistics()
        for number in range(100):
            failed = number % 5 == 0
            statistics.count_run('small@1', failed=failed, slow=not failed)
        reference = statistics.reference(CELL, 0.9)
        assert 0.15 < reference.error_rate < 0.2
        assert 0.6 < reference.slow_rate < 0.8

    def test_forget_drops_the_scores(self) -> None:
        """Return no reference for a version after `forget`."""
        statistics = AnswerStatistics()
        add_scores(statistics, MIN_COUNT + SCORE_DELAY_COUNT)
        statistics.forget('small@1')
        assert statistics.own_reference(CELL, MIN_COUNT) is None
