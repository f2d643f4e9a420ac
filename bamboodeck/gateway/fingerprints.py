"""Detect requests that crash the engines that run them."""

import msgspec
import xxhash

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.events import RequestSuspected
from bamboodeck.gateway.model import CallerRequest

# On a crash, connections break first and are then refused within this time.
CRASH_WINDOW_S = 2.0
# Maximum number of requests that an engine runs at once.
MAX_BROKEN_REQUESTS = 64


class _Broken(msgspec.Struct, frozen=True):
    fingerprint: str
    broken_s: float


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
        self._broken: dict[str, list[_Broken]] = {}

    def is_poison(self, fingerprint: str) -> bool:
        """Tell whether a request is blocked because it crashed engines."""
        now_s = self._context.environment.wall_s()
        return self._context.poison.check(fingerprint, now_s) is not None

    def record_answered(self, fingerprint: str, engine: Engine) -> None:
        """Record that a request finished without a crash."""
        self._context.poison.finish(
            fingerprint,
            engine.entry.engine_id,
            self._context.environment.wall_s(),
        )

    def record_broken(self, fingerprint: str, engine: Engine) -> None:
        """Record a request whose connection broke while it ran."""
        now_s = self._context.now_s()
        broken = self._broken.setdefault(engine.entry.engine_id, [])
        broken.append(_Broken(fingerprint, now_s))
        del broken[:-MAX_BROKEN_REQUESTS]

    def record_crash(self, engine: Engine) -> None:
        """Report the requests that broke just before an engine crashed."""
        engine_id = engine.entry.engine_id
        since_s = self._context.now_s() - CRASH_WINDOW_S
        suspects = {
            each.fingerprint
            for each in self._broken.pop(engine_id, ())
            if each.broken_s >= since_s
        }
        if not suspects:
            return
        for fingerprint in suspects:
            self._context.poison.start(fingerprint, engine_id)
        wall_s = self._context.environment.wall_s()
        for report in self._context.poison.crash(engine_id, wall_s):
            self._context.log.emit(
                RequestSuspected(engine_id, report.fingerprint),
            )
