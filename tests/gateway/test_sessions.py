"""Test the tracking of session versions."""

from bamboodeck.gateway.sessions import SessionUse, SessionVersions


def build_use(
    version: str,
    last_used_s: float,
    session: str = 's',
) -> SessionUse:
    """Build a request of a session."""
    return SessionUse('models', session, version, last_used_s)


class TestSessionVersions:
    """Keep a session's version while it is active."""

    def test_expiry(self) -> None:
        """Expire idle sessions, and distinguish services."""
        sessions = SessionVersions(5.0)
        sessions.record(build_use('v1', 10.0))
        assert sessions.find('models', 's', 14.9) == 'v1'
        assert sessions.find('models', 's', 15.1) is None
        assert sessions.find('other', 's', 10.0) is None

    def test_late_announcement(self) -> None:
        """Keep the latest request when an earlier one is announced late."""
        sessions = SessionVersions(5.0)
        sessions.record(build_use('v2', 10.0))
        sessions.record(build_use('v1', 9.0))
        assert sessions.find('models', 's', 11.0) == 'v2'

    def test_recent(self) -> None:
        """Yield the active sessions."""
        sessions = SessionVersions(5.0)
        sessions.record(build_use('v1', 1.0, 'old'))
        sessions.record(build_use('v1', 9.0, 'new'))
        found = [use.session for use in sessions.recent('models', 10.0)]
        assert found == ['new']
