"""Run a request on one engine and account for its load."""

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
    """Receive the events of an attempt."""

    def read_head(self, head: ReplyHead) -> EngineHead:
        """Decode the head of an answer."""

    def on_attempt_head(self, attempt: 'Attempt') -> None:
        """Handle the head of the answer."""

    def on_attempt_data(self, attempt: 'Attempt', chunk: bytes) -> None:
        """Handle the next bytes of the answer."""

    def on_attempt_end(self, attempt: 'Attempt') -> None:
        """Handle the end of a complete answer."""

    def on_attempt_failed(
        self,
        attempt: 'Attempt',
        failure: HttpFailed,
    ) -> None:
        """Handle an answer that ended incomplete."""


class Attempt:
    """Receive one engine's answer, counted in its load until it ends."""

    def __init__(
        self,
        owner: AttemptOwner,
        estimate: CostEstimate,
        model: str | None,
        now_s: float,
    ) -> None:
        """Add the request to the engine's load."""
        self.engine: Engine = estimate.engine
        self.estimate = estimate
        self.model = model
        self.began_s = now_s
        self.last_progress_s = now_s
        self.first_s: float | None = None
        # Events of its stream that were received.
        self.events = 0
        self.head: EngineHead | None = None
        self.connection: ClientConnection | None = None
        self.ended = False
        # Whether reading is paused because the caller is slow.
        self.paused = False
        self._owner = owner
        self._prefill_ms = estimate.prefill_ms
        self.engine.requests += 1
        self.engine.tokens += estimate.tokens
        self.engine.record_sent(now_s)
        self.engine.prefill_ms += self._prefill_ms

    def record_progress(self, now_s: float) -> None:
        """Record that the answer, and so its engine, has made progress."""
        self.last_progress_s = now_s
        self.engine.last_progress_s = now_s

    def record_first_token(self, now_s: float) -> None:
        """Record the first token, which ends the prefill."""
        self.first_s = now_s
        self.engine.prefill_ms -= self._prefill_ms
        self._prefill_ms = 0.0

    def cancel(self) -> None:
        """Cancel the request, so that the engine stops."""
        if self.ended:
            return
        self._release()
        if self.connection is not None:
            self.connection.cancel()

    def on_head(self, head: ReplyHead) -> None:
        """Handle the head of the answer."""
        if self.ended:
            return
        self.head = self._owner.read_head(head)
        self._owner.on_attempt_head(self)

    def on_data(self, chunk: bytes) -> None:
        """Handle the next bytes of the answer."""
        if not self.ended:
            self._owner.on_attempt_data(self, chunk)

    def on_end(self) -> None:
        """Handle the end of a complete answer."""
        if self.ended:
            return
        self._release()
        self._owner.on_attempt_end(self)

    def on_failed(self, failure: HttpFailed) -> None:
        """Handle an answer that ended incomplete."""
        if self.ended:
            return
        self._release()
        self._owner.on_attempt_failed(self, failure)

    def fail(self, reason: str, kind: FailureKind) -> None:
        """Cancel the attempt and report it as failed."""
        if self.ended:
            return
        self.cancel()
        self._owner.on_attempt_failed(self, HttpFailed(reason, True, kind))

    def _release(self) -> None:
        self.ended = True
        self.engine.requests -= 1
        self.engine.tokens -= self.estimate.tokens
        self.engine.prefill_ms -= self._prefill_ms
        self._prefill_ms = 0.0
