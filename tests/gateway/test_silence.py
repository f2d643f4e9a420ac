"""Test how long an engine may say nothing."""

from bamboodeck.gateway.silence import Quiet, judge_silence
from bamboodeck.http.messages import FailureKind


def build_quiet(**fields: object) -> Quiet:
    """Build an attempt that began a moment ago."""
    described = {
        'now_s': 10.0,
        'began_s': 9.9,
        'heard_s': 9.9,
        'streaming': False,
        'predicted_s': 0.1,
        'target_s': 2.0,
        'max_gap_s': 0.8,
        'engine_heard_s': 9.9,
        'engine_requests': 1,
        **fields,
    }
    return Quiet(**described)


class TestFirstToken:
    """Wait for a first token in step with the load."""

    def test_soon(self) -> None:
        """Wait a moment."""
        assert judge_silence(build_quiet()) is None

    def test_late(self) -> None:
        """Leave an engine that hangs on one request."""
        quiet = build_quiet(began_s=9.0, engine_heard_s=9.99)
        assert judge_silence(quiet) is FailureKind.LATE

    def test_busy(self) -> None:
        """Wait longer when a long wait was predicted."""
        quiet = build_quiet(
            began_s=9.0,
            engine_heard_s=9.99,
            predicted_s=0.8,
        )
        assert judge_silence(quiet) is None


class TestGaps:
    """Leave a stream that stands still."""

    def test_short_gap(self) -> None:
        """Keep to a stream whose gap is still on time."""
        quiet = build_quiet(streaming=True, began_s=5.0, heard_s=9.3)
        assert judge_silence(quiet) is None

    def test_long_gap(self) -> None:
        """Leave it once the gap is late."""
        quiet = build_quiet(streaming=True, began_s=5.0, heard_s=9.0)
        assert judge_silence(quiet) is FailureKind.LATE


class TestDarkEngine:
    """Leave an engine that says nothing on any request."""

    def test_dark(self) -> None:
        """Leave before any single request would be late."""
        quiet = build_quiet(
            began_s=9.4,
            engine_heard_s=9.4,
            engine_requests=5,
        )
        assert judge_silence(quiet) is FailureKind.SILENT

    def test_one_request(self) -> None:
        """Conclude nothing from one request."""
        quiet = build_quiet(began_s=9.4, engine_heard_s=9.4)
        assert judge_silence(quiet) is None

    def test_new_request(self) -> None:
        """Give a request that has just begun its time."""
        quiet = build_quiet(engine_heard_s=2.0, engine_requests=5)
        assert judge_silence(quiet) is None
