"""Remember on which version each session last ran."""

from collections import OrderedDict

MAX_SESSIONS = 20_000


class SessionVersions:
    """Hold the versions of the sessions that were seen lately."""

    def __init__(self, session_s: float) -> None:
        """Keep how long after a request its session lasts, in seconds."""
        self.session_s = session_s
        self._seen: OrderedDict[tuple[str, str], tuple[str, float]] = (
            OrderedDict()
        )

    def find(self, service: str, session: str, now_s: float) -> str | None:
        """Return the version of a session that goes on, if any."""
        found = self._seen.get((service, session))
        if found is None or found[1] + self.session_s < now_s:
            return None
        return found[0]

    def note(
        self,
        service: str,
        session: str,
        version: str,
        now_s: float,
    ) -> None:
        """Remember the version on which a request of a session runs."""
        self._seen[service, session] = (version, now_s)
        self._seen.move_to_end((service, session))
        while len(self._seen) > MAX_SESSIONS:
            self._seen.popitem(last=False)
