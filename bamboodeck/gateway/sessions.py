"""Remember on which version each session last ran.

Load pattern: requests of one session come to any host, so hosts tell each other
of the sessions that a roll-out must leave where they are.
"""

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

MAX_SESSIONS = 20_000


class SessionUse(msgspec.Struct, frozen=True):
    """Tell when a session last ran, and on which version."""

    service: str
    session: str
    version: str
    seen_s: float


class SessionVersions:
    """Hold the versions of the sessions that were seen lately."""

    def __init__(self, session_s: float) -> None:
        """Keep how long after a request its session lasts, in seconds."""
        self.session_s = session_s
        self._seen: OrderedDict[tuple[str, str], SessionUse] = OrderedDict()

    def find(self, service: str, session: str, now_s: float) -> str | None:
        """Return the version of a session that goes on, if any."""
        found = self._seen.get((service, session))
        if found is None or found.seen_s + self.session_s < now_s:
            return None
        return found.version

    def record(self, seen: SessionUse) -> None:
        """Remember a request of a session, unless a later one is known."""
        key = (seen.service, seen.session)
        known = self._seen.get(key)
        if known is not None and known.seen_s >= seen.seen_s:
            return
        self._seen[key] = seen
        self._seen.move_to_end(key)
        while len(self._seen) > MAX_SESSIONS:
            self._seen.popitem(last=False)

    def recent(self, service: str, now_s: float) -> Iterator[SessionUse]:
        """Yield the sessions of a service that go on."""
        for seen in self._seen.values():
            if (
                seen.service == service
                and seen.seen_s >= now_s - self.session_s
            ):
                yield seen
