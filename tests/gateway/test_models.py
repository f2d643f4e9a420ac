"""Test the escalation of answers under rising load."""

import pytest

from bamboodeck.gateway.models import (
    IDLE_CONFIDENCE,
    Accept,
    DraftAnswer,
    Escalate,
    judge_draft,
    next_model,
    required_confidence,
)


def build_draft(**fields: object) -> DraftAnswer:
    """Build a low-confidence answer with ample time for a larger model."""
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
    """Escalate a low-confidence answer if a larger model can help."""

    def test_low_confidence(self) -> None:
        """Escalate to the larger model with idle engines."""
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
    def test_accepted(self, fields: dict, reason: str) -> None:
        """Accept an answer that can't be improved."""
        assert judge_draft(build_draft(**fields)) == Accept(reason)

    def test_overload(self) -> None:
        """Accept every answer when a larger model would be too late."""
        draft = build_draft(confidence=0, larger_first_token_ms=1400.0)
        assert judge_draft(draft) == Accept('confident')


class TestLoad:
    """Require less confidence the busier the engines are."""

    def test_falls_with_wait(self) -> None:
        """Fall monotonically from the idle confidence to zero."""
        required = [
            required_confidence(1500.0, wait_ms)
            for wait_ms in range(0, 1600, 50)
        ]
        assert required[0] == IDLE_CONFIDENCE
        assert required[-1] == 0.0
        assert required == sorted(required, reverse=True)

    def test_late_already(self) -> None:
        """Accept an answer that is already late."""
        assert required_confidence(-100.0, 50.0) == 0.0


class TestNextModel:
    """Choose the next model of a cascade."""

    def test_order(self) -> None:
        """Skip the models in between, and stop at the largest."""
        models = ('small', 'middle', 'large')
        assert next_model(models, 'small', 10) == 'large'
        assert next_model(models, 'middle', 10) == 'large'
        assert next_model(models, 'large', 10) is None
        assert next_model(models, 'unheard-of', 10) is None

    def test_nearly_confident(self) -> None:
        """Try only the next larger model for a nearly confident answer."""
        models = ('small', 'middle', 'large')
        assert next_model(models, 'small', 50) == 'middle'
        assert next_model(models, 'middle', 50) == 'large'
