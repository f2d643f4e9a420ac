"""Detect requests that crash the engines that run them.

Load pattern: a request crashes each engine that begins to run it, and comes
again at any host, also at one that sends these engines nothing else. A request
that broke off is suspected once its engine is known to have crashed: it refuses
connections, or another one has taken its place. Cut connections alone are no
crash, as an engine may lose an answer, and a host its network.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

from bamboodeck.admission.poison import CrashReport
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.events import RequestSuspected
from bamboodeck.gateway.model import CallerRequest, EngineEntry
from bamboodeck.http.messages import Address, FailureKind, HttpFailed

# On a crash, connections break first and are then refused within this time.
CRASH_WINDOW_S = 2.0
# A crashed engine is back, and its successor listed, within this time.
REPLACED_WINDOW_S = 15.0
# Gives a dying process the time to close its listening socket.
CHECK_DELAY_S = 0.1
CHECK_TIMEOUT_S = 0.4
# Maximum number of requests that an engine runs at once.
MAX_BROKEN_REQUESTS = 64


class _Broken(msgspec.Struct, frozen=True):
    fingerprint: str
    broken_s: float
    broken_unix_s: float


@dataclass(slots=True)
class _BrokenEngine:
    entry: EngineEntry
    requests: list[_Broken] = field(default_factory=list)
    checking: bool = False


def fingerprint_of(request: CallerRequest, customer: str) -> str:
    """Return a hash that a request shares with its repetitions."""
    digest = xxhash.xxh64(request.body)
    head = f'{customer}\n{request.method}\n{request.host}{request.target}'
    digest.update(head.encode())
    return digest.hexdigest()


class CrashTracker:
    """Attribute engine crashes to the requests that were running."""

    def __init__(self, context: GatewayContext) -> None:
        """Start without suspected requests."""
        self._context = context
        # By incarnation.
        self._broken: dict[str, _BrokenEngine] = {}

    def is_poison(self, fingerprint: str) -> bool:
        """Tell whether a request is blocked because it crashed engines."""
        now_s = self._context.environment.wall_s()
        return self._context.poison.check(fingerprint, now_s) is not None

    def record_answered(self, fingerprint: str, engine: Engine) -> None:
        """Record that a request finished without a crash."""
        for broken in self._broken.values():
            broken.requests = [
                each
                for each in broken.requests
                if each.fingerprint != fingerprint
            ]
        self._context.poison.finish(
            fingerprint,
            engine.entry.engine_id,
            self._context.environment.wall_s(),
        )

    def record_broken(self, fingerprint: str, engine: Engine) -> None:
        """Record a request whose connection broke, and check its engine."""
        self.record_unanswered(fingerprint, engine)
        broken = self._broken.get(engine.incarnation)
        if broken is None or broken.checking:
            return
        broken.checking = True
        self._context.loop.scheduler.call_after(
            CHECK_DELAY_S,
            lambda: self._check(engine),
        )

    def record_unanswered(self, fingerprint: str, engine: Engine) -> None:
        """Record a request without an answer."""
        if engine.leaving or engine.unlisted:
            # It stops, and breaks off what it runs.
            return
        broken = self._broken.setdefault(
            engine.incarnation,
            _BrokenEngine(engine.entry),
        )
        broken.requests.append(
            _Broken(
                fingerprint,
                self._context.now_s(),
                self._context.environment.wall_s(),
            ),
        )
        del broken.requests[:-MAX_BROKEN_REQUESTS]

    def record_refused(self, engine: Engine) -> None:
        """Suspect what broke off just before an engine was found crashed."""
        self._suspect(engine.incarnation, CRASH_WINDOW_S, 'refused')

    def record_misdirected(self, engine: Engine) -> None:
        """Suspect what broke off before another engine had the address."""
        self._suspect(engine.incarnation, REPLACED_WINDOW_S, 'misdirected')

    def check_replaced(self) -> None:
        """Suspect what broke off on engines that others have replaced."""
        if not self._broken:
            return
        started = _find_latest_starts(self._context.engines)
        oldest_s = self._context.now_s() - REPLACED_WINDOW_S
        for incarnation, broken in tuple(self._broken.items()):
            entry = broken.entry
            latest = max(
                started.get(entry.engine_id, 0),
                started.get(entry.address, 0),
            )
            if latest > entry.started_unix_ms:
                self._suspect(incarnation, REPLACED_WINDOW_S, 'replaced')
            elif all(each.broken_s < oldest_s for each in broken.requests):
                self._broken.pop(incarnation)

    def _check(self, engine: Engine) -> None:
        broken = self._broken.get(engine.incarnation)
        if broken is None:
            return
        broken.checking = False
        address = engine.entry.address
        if self._context.client.has_idle(address):
            # The connections of a crashed engine are closed.
            return

        def on_connected(failure: HttpFailed | None) -> None:
            # Without an answer, the network may have failed.
            if failure is not None and failure.kind is FailureKind.REFUSED:
                self.record_refused(engine)

        self._context.client.connect(address, CHECK_TIMEOUT_S, on_connected)

    def _suspect(
        self,
        incarnation: str,
        window_s: float,
        evidence: str,
    ) -> None:
        broken = self._broken.pop(incarnation, None)
        if broken is None:
            return
        engine_id = broken.entry.engine_id
        since_s = self._context.now_s() - window_s
        suspects = {
            each.fingerprint: each.broken_unix_s
            for each in broken.requests
            if each.broken_s >= since_s
        }
        self._context.poison.merge(
            [
                CrashReport(fingerprint, engine_id, broken_unix_s, incarnation)
                for fingerprint, broken_unix_s in suspects.items()
            ],
            self._context.environment.wall_s(),
        )
        for fingerprint in suspects:
            self._context.log.emit(
                RequestSuspected(engine_id, fingerprint, evidence),
            )


def _find_latest_starts(engines: Iterable[Engine]) -> dict[str | Address, int]:
    latest: dict[str | Address, int] = {}
    for engine in engines:
        entry = engine.entry
        for key in (entry.engine_id, entry.address):
            latest[key] = max(latest.get(key, 0), entry.started_unix_ms)
    return latest
