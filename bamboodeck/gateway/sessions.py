"""Track the version on which each session last ran.

Load pattern: requests of one session reach any host, so hosts announce to each
other the sessions that a roll-out must keep on their version.
"""

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

MAX_SESSIONS = 20_000


class SessionUse(msgspec.Struct, frozen=True):
    """Hold when a session last ran, and on which version."""

    service: str
    session: str
    version: str
    last_used_s: float


class SessionVersions:
    """Hold the versions of recent sessions, evicting the oldest."""

    def __init__(self, session_s: float) -> None:
        """Let a session expire `session_s` seconds after its last request."""
        self.session_s = session_s
        self._uses: OrderedDict[tuple[str, str], SessionUse] = OrderedDict()

    def find(self, service: str, session: str, now_s: float) -> str | None:
        """Return the version of an active session, if any."""
        found = self._uses.get((service, session))
        if found is None or found.last_used_s + self.session_s < now_s:
            return None
        return found.version

    def record(self, use: SessionUse) -> None:
        """Record a request of a session, unless a later one is known."""
        key = (use.service, use.session)
        known = self._uses.get(key)
        if known is not None and known.last_used_s >= use.last_used_s:
            return
        self._uses[key] = use
        self._uses.move_to_end(key)
        while len(self._uses) > MAX_SESSIONS:
            self._uses.popitem(last=False)

    def recent(self, service: str, now_s: float) -> Iterator[SessionUse]:
        """Yield the active sessions of a service."""
        for use in self._uses.values():
            if (
                use.service == service
                and use.last_used_s >= now_s - self.session_s
            ):
                yield use
