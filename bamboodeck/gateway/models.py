"""Choose the model of a request, and judge its answer before it is passed on.

Load pattern: when engines are busy, a second run on a larger model takes the
time of many first runs. The confidence that an answer needs falls with the
wait for the larger model, so overload is answered by smaller models and not by
rejections.
"""

import msgspec

# With idle engines, answers below this confidence are worth a larger model.
IDLE_CONFIDENCE = 60
# With the larger model's first token due just in time, only those below this.
BUSY_CONFIDENCE = 35
# An answer that is nearly good enough needs only the next larger model.
NEXT_MODEL_CONFIDENCE = 45
# A larger model's first token has to be likely within this part of the time
# that is left to the target.
SAFE_TIME_FRACTION = 0.8


class Accept(msgspec.Struct, frozen=True):
    """Pass the answer on."""

    reason: str


class Escalate(msgspec.Struct, frozen=True):
    """Drop the answer and run the request on a larger model."""

    model: str


Judgement = Accept | Escalate


class DraftAnswer(msgspec.Struct, frozen=True):
    """Describe an answer of which the caller has received nothing."""

    confidence: int | None
    larger_model: str | None
    # Until the target latency is over, in milliseconds.
    left_ms: float
    # When the larger model's first token is due, from now.
    larger_first_token_ms: float | None
    attempts_left: int
    budget_left: float


def judge_draft(draft: DraftAnswer) -> Judgement:
    """Decide whether an answer is good enough for the load."""
    if draft.confidence is None:
        return Accept('no-confidence')
    if draft.larger_model is None or draft.larger_first_token_ms is None:
        return Accept('no-larger-model')
    if draft.attempts_left < 1 or draft.budget_left < 1:
        return Accept('no-attempt-left')
    needed = needed_confidence(draft.left_ms, draft.larger_first_token_ms)
    if draft.confidence >= needed:
        return Accept('confident')
    return Escalate(draft.larger_model)


def needed_confidence(left_ms: float, larger_first_token_ms: float) -> float:
    """Return the confidence below which a larger model is worth its time."""
    usable_ms = left_ms * SAFE_TIME_FRACTION
    if larger_first_token_ms >= usable_ms:
        return 0.0
    room = 1 - larger_first_token_ms / usable_ms
    return BUSY_CONFIDENCE + (IDLE_CONFIDENCE - BUSY_CONFIDENCE) * min(
        2 * room,
        1.0,
    )


def next_model(
    models: tuple[str, ...],
    tried: str,
    confidence: int,
) -> str | None:
    """Return the model that is asked after a smaller one.

    Models are in the order of their size.
    """
    if tried not in models or tried == models[-1]:
        return None
    if confidence >= NEXT_MODEL_CONFIDENCE:
        return models[models.index(tried) + 1]
    return models[-1]
