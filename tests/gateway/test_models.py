"""Replay rising load against the judgement of answers."""

import pytest

from bamboodeck.gateway.models import (
    IDLE_CONFIDENCE,
    Accept,
    DraftAnswer,
    Escalate,
    judge_draft,
    required_confidence,
    next_model,
)


def build_draft(**fields: object) -> DraftAnswer:
    """Build a doubtful answer with all the time for a larger model."""
    described = {
        'confidence': 40,
        'larger_model': 'large',
        'left_ms': 1500.0,
        'larger_first_token_ms': 100.0,
        'attempts_left': 2,
        'budget_left': 10.0,
        **fields,
    }
    return DraftAnswer(**described)


class TestJudgement:
    """Run again what is doubtful, if that can help."""

    def test_doubtful(self) -> None:
        """Ask the larger model with idle engines."""
        assert judge_draft(build_draft()) == Escalate('large')

    @pytest.mark.parametrize(
        ('fields', 'reason'),
        [
            ({'confidence': 90}, 'confident'),
            ({'confidence': None}, 'no-confidence'),
            ({'larger_model': None}, 'no-larger-model'),
            ({'larger_first_token_ms': None}, 'no-larger-model'),
            ({'attempts_left': 0}, 'no-attempt-left'),
            ({'budget_left': 0.5}, 'no-attempt-left'),
        ],
    )
    def test_kept(self, fields: dict, reason: str) -> None:
        """Pass on what can't be bettered."""
        assert judge_draft(build_draft(**fields)) == Accept(reason)

    def test_overload(self) -> None:
        """Pass everything on when a larger model would be too late."""
        draft = build_draft(confidence=0, larger_first_token_ms=1400.0)
        assert judge_draft(draft) == Accept('confident')


class TestLoad:
    """Need less confidence the busier the engines are."""

    def test_falls_with_wait(self) -> None:
        """Fall from the idle confidence to nothing, never rising."""
        needed = [
            required_confidence(1500.0, wait_ms)
            for wait_ms in range(0, 1600, 50)
        ]
        assert needed[0] == IDLE_CONFIDENCE
        assert needed[-1] == 0.0
        assert needed == sorted(needed, reverse=True)

    def test_late_already(self) -> None:
        """Keep what is late anyhow."""
        assert required_confidence(-100.0, 50.0) == 0.0


class TestNextModel:
    """Go from the small models to the largest."""

    def test_order(self) -> None:
        """Skip those between, and stop at the largest."""
        models = ('small', 'middle', 'large')
        assert next_model(models, 'small', 10) == 'large'
        assert next_model(models, 'middle', 10) == 'large'
        assert next_model(models, 'large', 10) is None
        assert next_model(models, 'unheard-of', 10) is None

    def test_nearly_confident(self) -> None:
        """Ask the next larger model where little is missing."""
        models = ('small', 'middle', 'large')
        assert next_model(models, 'small', 50) == 'middle'
        assert next_model(models, 'middle', 50) == 'large'
