"""Run a request on one engine and keep the accounts of its load."""

from typing import Protocol

from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.model import EngineHead
from bamboodeck.gateway.placement import CostEstimate
from bamboodeck.http.client_connection import ClientConnection
from bamboodeck.http.messages import (
    FailureKind,
    HttpFailed,
    ReplyHead,
)


class AttemptOwner(Protocol):
    """Follow an attempt from its head to its end."""

    def read_head(self, head: ReplyHead) -> EngineHead:
        """Decode the head of an answer."""

    def on_attempt_head(self, attempt: 'Attempt') -> None:
        """Take the head of the answer."""

    def on_attempt_data(self, attempt: 'Attempt', chunk: bytes) -> None:
        """Take the next bytes of the answer."""

    def on_attempt_end(self, attempt: 'Attempt') -> None:
        """Learn that the answer is whole."""

    def on_attempt_failed(
        self,
        attempt: 'Attempt',
        failure: HttpFailed,
    ) -> None:
        """Learn that the rest of the answer won't come."""


class Attempt:
    """Receive one engine's answer; the engine's load is counted meanwhile."""

    def __init__(
        self,
        owner: AttemptOwner,
        estimate: CostEstimate,
        model: str | None,
        now_s: float,
    ) -> None:
        """Count the request at the engine."""
        self.engine: Engine = estimate.engine
        self.estimate = estimate
        self.model = model
        self.began_s = now_s
        self.last_data_s = now_s
        self.first_s: float | None = None
        self.head: EngineHead | None = None
        self.connection: ClientConnection | None = None
        self.ended = False
        # Whether reading waits for a slow caller.
        self.paused = False
        self._owner = owner
        self._prefill_ms = estimate.prefill_ms
        self.engine.requests += 1
        self.engine.prefill_ms += self._prefill_ms

    def record_first_token(self, now_s: float) -> None:
        """Learn that the prompt is read: the first token is there."""
        self.first_s = now_s
        self.engine.prefill_ms -= self._prefill_ms
        self._prefill_ms = 0.0

    def cancel(self) -> None:
        """Drop the answer, so that the engine stops."""
        if self.ended:
            return
        self._leave()
        if self.connection is not None:
            self.connection.cancel()

    def on_head(self, head: ReplyHead) -> None:
        """Take the head of the answer."""
        if self.ended:
            return
        self.head = self._owner.read_head(head)
        self._owner.on_attempt_head(self)

    def on_data(self, chunk: bytes) -> None:
        """Take the next bytes of the answer."""
        if not self.ended:
            self._owner.on_attempt_data(self, chunk)

    def on_end(self) -> None:
        """Learn that the answer is whole."""
        if self.ended:
            return
        self._leave()
        self._owner.on_attempt_end(self)

    def on_failed(self, failure: HttpFailed) -> None:
        """Learn that the rest won't come."""
        if self.ended:
            return
        self._leave()
        self._owner.on_attempt_failed(self, failure)

    def fail(self, reason: str, kind: FailureKind) -> None:
        """Give the attempt up and tell why."""
        if self.ended:
            return
        self.cancel()
        self._owner.on_attempt_failed(self, HttpFailed(reason, True, kind))

    def _leave(self) -> None:
        self.ended = True
        self.engine.requests -= 1
        self.engine.prefill_ms -= self._prefill_ms
        self._prefill_ms = 0.0
