"""A store whose answers can be slow."""

from typing import Any

from bamboodeck.fakes.platform.store import PlatformStoreFake
from bamboodeck.http.relay_server import RelayExchange

# As in the sheets of the small deployments.
USUAL_ANSWER_S = 0.004


class TimedStore(PlatformStoreFake):
    """Serve the platform's store protocol with a set answer time."""

    answer_s = USUAL_ANSWER_S

    def _respond(
        self,
        responder: RelayExchange,
        answer: dict[str, Any],
        status: int = 200,
    ) -> None:
        send = super()._respond
        self._loop.scheduler.call_after(
            self.answer_s,
            lambda: send(responder, answer, status),
        )
