"""Test the detection of stalled attempts and unresponsive engines."""

import pytest

from bamboodeck.gateway.stalls import AttemptProgress, detect_stall
from bamboodeck.http.messages import FailureKind


def build_progress(**fields: object) -> AttemptProgress:
    """Build an attempt that has just begun."""
    described = {
        'now_s': 10.0,
        'began_s': 9.9,
        'last_progress_s': 9.9,
        'streaming': False,
        'predicted_s': 0.1,
        'target_s': 2.0,
        'max_gap_s': 0.8,
        'engine_last_progress_s': 9.9,
        'engine_requests': 1,
        **fields,
    }
    return AttemptProgress(**described)


class TestFirstToken:
    """Scale the first token's timeout with the load."""

    def test_soon(self) -> None:
        """Wait at first."""
        assert detect_stall(build_progress()) is None

    def test_late(self) -> None:
        """Fail an attempt that hangs on a responsive engine."""
        progress = build_progress(began_s=9.0, engine_last_progress_s=9.99)
        assert detect_stall(progress) is FailureKind.LATE

    def test_busy(self) -> None:
        """Wait longer when a long wait was predicted."""
        progress = build_progress(
            began_s=9.0,
            engine_last_progress_s=9.99,
            predicted_s=0.8,
        )
        assert detect_stall(progress) is None


class TestGaps:
    """Fail a stalled stream."""

    def test_short_gap(self) -> None:
        """Accept a gap within the limit."""
        progress = build_progress(
            streaming=True, began_s=5.0, last_progress_s=9.3
        )
        assert detect_stall(progress) is None

    def test_long_gap(self) -> None:
        """Fail the stream once the gap exceeds the limit."""
        progress = build_progress(
            streaming=True, began_s=5.0, last_progress_s=9.0
        )
        assert detect_stall(progress) is FailureKind.LATE


class TestUnresponsiveEngine:
    """Fail the attempts of an engine that sends no data at all."""

    @pytest.mark.parametrize('allowed_s', [0.4, 0.8, 1.5, 2.0])
    def test_unresponsive(self, allowed_s: float) -> None:
        """Fail the attempts after the pause that the route allows."""
        kinds = [
            detect_stall(
                build_progress(
                    began_s=10 - silent_s,
                    last_progress_s=10 - silent_s,
                    engine_last_progress_s=10 - silent_s,
                    max_gap_s=allowed_s,
                    streaming=True,
                    engine_requests=5,
                ),
            )
            for silent_s in (0.95 * allowed_s, 1.05 * allowed_s)
        ]
        assert kinds == [None, FailureKind.SILENT]

    def test_plain_call(self) -> None:
        """Fail plain calls, which have no pauses, after their target."""
        progress = build_progress(
            began_s=9.6,
            engine_last_progress_s=9.6,
            engine_requests=3,
            max_gap_s=0.0,
            target_s=0.3,
            predicted_s=0.2,
        )
        assert detect_stall(progress) is FailureKind.SILENT

    def test_one_request(self) -> None:
        """Conclude nothing from one request."""
        progress = build_progress(began_s=9.4, engine_last_progress_s=9.4)
        assert detect_stall(progress) is None

    def test_new_request(self) -> None:
        """Wait for a request that has just begun."""
        progress = build_progress(engine_last_progress_s=2.0, engine_requests=5)
        assert detect_stall(progress) is None
