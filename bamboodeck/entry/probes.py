"""Answer health, readiness and metrics probes."""

from collections.abc import Callable

from bamboodeck.http.messages import ApiRequest, ApiResponse
from bamboodeck.http.responder import Responder
from bamboodeck.invariants import Invariants
from bamboodeck.metrics import Metrics

HEALTH_PATH = '/health'
READY_PATH = '/ready'
METRICS_PATH = '/metrics'
_OK = 200
_UNAVAILABLE = 503
_TEXT = 'text/plain; version=0.0.4; charset=utf-8'
_READY = ApiResponse(_OK, b'{"ready": true}')
_NOT_READY = ApiResponse(_UNAVAILABLE, b'{"ready": false}')


class Probes:
    """Answer `/health`, `/ready` and, on internal addresses, `/metrics`."""

    def __init__(
        self,
        metrics: Metrics,
        invariants: Invariants,
        is_ready: Callable[[], bool],
        refresh: Callable[[], None],
    ) -> None:
        """Call `refresh` before each rendering of the metrics."""
        self._metrics = metrics
        self._invariants = invariants
        self._is_ready = is_ready
        self._refresh = refresh

    def answer_public(self, request: ApiRequest, responder: Responder) -> bool:
        """Answer the load balancer's probes; return whether it was one."""
        if request.path == HEALTH_PATH:
            responder.respond(ApiResponse(_OK, b'{"health": "ok"}'))
            return True
        if request.path == READY_PATH:
            responder.respond(_READY if self._is_ready() else _NOT_READY)
            return True
        return False

    def answer_internal(
        self, request: ApiRequest, responder: Responder
    ) -> bool:
        """Answer the operator's probes; return whether it was one."""
        if request.path != METRICS_PATH:
            return self.answer_public(request, responder)
        self._refresh()
        for name, checked in self._invariants.checked.items():
            violated = self._invariants.violated[name]
            self._metrics.set_invariant(name, checked, violated)
        responder.respond(
            ApiResponse(_OK, self._metrics.render(), content_type=_TEXT),
        )
        return True
