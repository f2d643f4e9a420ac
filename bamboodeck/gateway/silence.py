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
FIRST_TOKEN_PART = 0.35
# A gap between events is left once it is late anyhow.
GAP_FACTOR = 1.2
# An engine with several requests that says nothing on any of them is dark.
DARK_S = 0.45
DARK_REQUESTS = 3


class Quiet(msgspec.Struct, frozen=True):
    """Describe an attempt from which nothing has come for a while."""

    now_s: float
    began_s: float
    heard_s: float
    streaming: bool
    predicted_s: float
    target_s: float
    max_gap_s: float
    engine_heard_s: float
    engine_requests: int


def judge_silence(quiet: Quiet) -> FailureKind | None:
    """Tell as what an attempt should be given up, if at all."""
    since_s = max(quiet.began_s, quiet.engine_heard_s)
    busy = quiet.engine_requests >= DARK_REQUESTS
    dark_s = max(DARK_S, quiet.predicted_s)
    if busy and quiet.now_s - since_s > dark_s:
        return FailureKind.SILENT
    if quiet.streaming:
        gap_s = quiet.now_s - quiet.heard_s
        if quiet.max_gap_s and gap_s > quiet.max_gap_s * GAP_FACTOR:
            return FailureKind.LATE
        return None
    patience_s = max(
        quiet.predicted_s * FIRST_TOKEN_FACTOR,
        quiet.target_s * FIRST_TOKEN_PART,
    )
    if quiet.now_s - quiet.began_s > patience_s:
        return FailureKind.LATE
    return None
