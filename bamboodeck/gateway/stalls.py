"""Detect stalled attempts and unresponsive engines.

Load pattern: an engine stops responding, hangs on some requests, or drops
their answers while its health check passes. Under load every engine is slow,
so timeouts grow with the predicted time.
"""

import msgspec

from bamboodeck.http.messages import FailureKind

# The timeout of a first token is this multiple of the predicted time ...
FIRST_TOKEN_FACTOR = 4.0
# ... but at least this fraction of the target, since predictions are rough.
FIRST_TOKEN_TARGET_FRACTION = 0.35
# A stream is given up once the gap exceeds this multiple of the allowed one.
GAP_FACTOR = 1.2
# An engine is unresponsive if none of several requests makes progress for as
# long as the route allows a pause. A long prefill alone silences an engine's
# streams for nearly that long.
UNRESPONSIVE_MIN_REQUESTS = 3


class AttemptProgress(msgspec.Struct, frozen=True):
    """Describe when an attempt and its engine last made progress.

    A stream progresses by complete events, so that single bytes of an engine
    that hangs don't count.
    """

    now_s: float
    began_s: float
    last_progress_s: float
    streaming: bool
    predicted_s: float
    target_s: float
    max_gap_s: float
    engine_last_progress_s: float
    engine_requests: int


def detect_stall(progress: AttemptProgress) -> FailureKind | None:
    """Return the kind of failure of a stalled attempt, if it is stalled."""
    since_s = max(progress.began_s, progress.engine_last_progress_s)
    busy = progress.engine_requests >= UNRESPONSIVE_MIN_REQUESTS
    allowed_s = progress.max_gap_s or progress.target_s
    engine_timeout_s = max(allowed_s, progress.predicted_s)
    if busy and progress.now_s - since_s > engine_timeout_s:
        return FailureKind.SILENT
    if progress.streaming:
        gap_s = progress.now_s - progress.last_progress_s
        if progress.max_gap_s and gap_s > progress.max_gap_s * GAP_FACTOR:
            return FailureKind.LATE
        return None
    timeout_s = max(
        progress.predicted_s * FIRST_TOKEN_FACTOR,
        progress.target_s * FIRST_TOKEN_TARGET_FRACTION,
    )
    if progress.now_s - progress.began_s > timeout_s:
        return FailureKind.LATE
    return None
