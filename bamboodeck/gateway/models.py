"""Decide whether to escalate an answer to a larger model.

Load pattern: when engines are busy, a second run on a larger model takes as
much time as many first runs. The required confidence falls as the wait for the
larger model grows, so overload leads to answers of smaller models instead of
rejections. While requests wait, a second run also has to be worth their room.
"""

import msgspec

# Required confidence when engines are idle.
IDLE_CONFIDENCE = 60
# Required confidence when the larger model's first token is due just in time.
BUSY_CONFIDENCE = 35
# From this confidence on, the next larger model is tried, not the largest.
NEXT_MODEL_CONFIDENCE = 45
# A larger model's first token has to be due within this fraction of the time
# left to the latency target.
SAFE_TIME_FRACTION = 0.8


class Accept(msgspec.Struct, frozen=True):
    """Forward the answer to the caller."""

    reason: str


class Escalate(msgspec.Struct, frozen=True):
    """Discard the answer and run the request on a larger model."""

    model: str


Judgement = Accept | Escalate


class DraftAnswer(msgspec.Struct, frozen=True):
    """Describe an answer of which nothing was sent to the caller yet."""

    confidence: int | None
    larger_model: str | None
    # Time left to the latency target.
    left_ms: float
    # Predicted time to the larger model's first token.
    larger_first_token_ms: float | None
    attempts_left: int
    budget_left: float
    # Whether a second run is worth the room, if others wait for it.
    worth_room: bool = True


def judge_draft(draft: DraftAnswer) -> Judgement:
    """Decide whether an answer is confident enough under the current load."""
    if draft.confidence is None:
        return Accept('no-confidence')
    if draft.larger_model is None or draft.larger_first_token_ms is None:
        return Accept('no-larger-model')
    if draft.attempts_left < 1 or draft.budget_left < 1:
        return Accept('no-attempt-left')
    required = required_confidence(draft.left_ms, draft.larger_first_token_ms)
    if draft.confidence >= required:
        return Accept('confident')
    if not draft.worth_room:
        return Accept('others-wait')
    return Escalate(draft.larger_model)


def required_confidence(left_ms: float, larger_first_token_ms: float) -> float:
    """Return the confidence below which an answer is escalated."""
    usable_ms = left_ms * SAFE_TIME_FRACTION
    if larger_first_token_ms >= usable_ms:
        return 0.0
    spare = 1 - larger_first_token_ms / usable_ms
    return BUSY_CONFIDENCE + (IDLE_CONFIDENCE - BUSY_CONFIDENCE) * min(
        2 * spare,
        1.0,
    )


def next_model(
    models: tuple[str, ...],
    tried: str,
    confidence: int,
) -> str | None:
    """Return the model to try after a smaller one.

    `models` is ordered from smallest to largest.
    """
    if tried not in models or tried == models[-1]:
        return None
    if confidence >= NEXT_MODEL_CONFIDENCE:
        return models[models.index(tried) + 1]
    return models[-1]
