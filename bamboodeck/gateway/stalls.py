"""Decide when an engine's silence is long enough to leave it.

Load pattern: an engine falls dark, hangs on some requests, or drops their
answers while its health check is good. Under load every engine is slow, so the
patience grows with the predicted time.
"""

import msgspec

from bamboodeck.http.messages import FailureKind

# A first token may take this many times the predicted time.
FIRST_TOKEN_FACTOR = 4.0
# ... and at least this part of the target, since predictions are rough.
FIRST_TOKEN_TARGET_FRACTION = 0.35
# A gap between events is left once it is late anyhow.
GAP_FACTOR = 1.2
# An engine with several requests that says nothing on any of them is dark.
UNRESPONSIVE_S = 0.45
UNRESPONSIVE_MIN_REQUESTS = 3


class AttemptProgress(msgspec.Struct, frozen=True):
    """Describe an attempt from which nothing has come for a while."""

    now_s: float
    began_s: float
    last_data_s: float
    streaming: bool
    predicted_s: float
    target_s: float
    max_gap_s: float
    engine_last_data_s: float
    engine_requests: int


def detect_stall(progress: AttemptProgress) -> FailureKind | None:
    """Tell as what an attempt should be given up, if at all."""
    since_s = max(progress.began_s, progress.engine_last_data_s)
    busy = progress.engine_requests >= UNRESPONSIVE_MIN_REQUESTS
    dark_s = max(UNRESPONSIVE_S, progress.predicted_s)
    if busy and progress.now_s - since_s > dark_s:
        return FailureKind.SILENT
    if progress.streaming:
        gap_s = progress.now_s - progress.last_data_s
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
