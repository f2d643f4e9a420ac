"""Test how long an engine may say nothing."""

from bamboodeck.gateway.stalls import AttemptProgress, detect_stall
from bamboodeck.http.messages import FailureKind


def build_progress(**fields: object) -> AttemptProgress:
    """Build an attempt that began a moment ago."""
    described = {
        'now_s': 10.0,
        'began_s': 9.9,
        'last_data_s': 9.9,
        'streaming': False,
        'predicted_s': 0.1,
        'target_s': 2.0,
        'max_gap_s': 0.8,
        'engine_last_data_s': 9.9,
        'engine_requests': 1,
        **fields,
    }
    return AttemptProgress(**described)


class TestFirstToken:
    """Wait for a first token in step with the load."""

    def test_soon(self) -> None:
        """Wait a moment."""
        assert detect_stall(build_progress()) is None

    def test_late(self) -> None:
        """Leave an engine that hangs on one request."""
        progress = build_progress(began_s=9.0, engine_last_data_s=9.99)
        assert detect_stall(progress) is FailureKind.LATE

    def test_busy(self) -> None:
        """Wait longer when a long wait was predicted."""
        progress = build_progress(
            began_s=9.0,
            engine_last_data_s=9.99,
            predicted_s=0.8,
        )
        assert detect_stall(progress) is None


class TestGaps:
    """Leave a stream that stands still."""

    def test_short_gap(self) -> None:
        """Keep to a stream whose gap is still on time."""
        progress = build_progress(streaming=True, began_s=5.0, last_data_s=9.3)
        assert detect_stall(progress) is None

    def test_long_gap(self) -> None:
        """Leave it once the gap is late."""
        progress = build_progress(streaming=True, began_s=5.0, last_data_s=9.0)
        assert detect_stall(progress) is FailureKind.LATE


class TestUnresponsiveEngine:
    """Leave an engine that says nothing on any request."""

    def test_dark(self) -> None:
        """Leave before any single request would be late."""
        progress = build_progress(
            began_s=9.4,
            engine_last_data_s=9.4,
            engine_requests=5,
        )
        assert detect_stall(progress) is FailureKind.SILENT

    def test_one_request(self) -> None:
        """Conclude nothing from one request."""
        progress = build_progress(began_s=9.4, engine_last_data_s=9.4)
        assert detect_stall(progress) is None

    def test_new_request(self) -> None:
        """Give a request that has just begun its time."""
        progress = build_progress(engine_last_data_s=2.0, engine_requests=5)
        assert detect_stall(progress) is None
