"""Forward an engine's answer: streams by events, others once complete."""

from typing import TYPE_CHECKING, Protocol

from bamboodeck.gateway.attempt import Attempt
from bamboodeck.gateway.held_bytes import HeldAnswer
from bamboodeck.gateway.model import EngineHead, RouteKind
from bamboodeck.gateway.retrying import FailureCause
from bamboodeck.gateway.streams import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLargeError,
    StreamEvent,
)
from bamboodeck.http.messages import FailureKind, HttpFailed

if TYPE_CHECKING:
    from bamboodeck.gateway.exchange import Exchange

# Larger answers are forwarded as they arrive and can't be retried any more.
MAX_HELD_BYTES = 1_048_576
# An engine cuts off an answer that it cannot send for some seconds, so a slow
# caller's answer is read up to this size while the host has memory left.
MAX_UNREAD_BYTES = 2_097_152

_MALFORMED = FailureKind.MALFORMED
_OK = 200
_FIRST_ERROR = 400
_SERVER_ERROR = 500


class Delivery(Protocol):
    """Turn the answers of engines into the answer to the caller."""

    @property
    def begun(self) -> bool:
        """Tell whether the caller has what no other attempt can continue."""

    def start_attempt(self) -> None:
        """Reset the state for a new attempt."""

    def on_head(self, attempt: Attempt, head: EngineHead) -> None:
        """Handle the head of an answer."""

    def on_data(self, attempt: Attempt, chunk: bytes) -> None:
        """Handle the next bytes of an answer."""

    def on_end(self, attempt: Attempt, head: EngineHead) -> None:
        """Handle the end of an answer."""

    def forward_failure(self, attempt: Attempt) -> bool:
        """Forward the engine's error response, if it is complete."""

    def close(self) -> None:
        """Release what is held, as the exchange ends."""


def build_delivery(exchange: 'Exchange') -> Delivery:
    """Build the delivery for the kind of a route."""
    match exchange.route.kind:
        case RouteKind.STREAM:
            return StreamDelivery(exchange)
        case RouteKind.SAFE | RouteKind.UNSAFE:
            return BufferedDelivery(exchange)


class BufferedDelivery:
    """Buffer an answer until it is complete, so a broken one can be retried."""

    def __init__(self, exchange: 'Exchange') -> None:
        """Start with an empty buffer."""
        self._exchange = exchange
        self._body = bytearray()
        self._held = HeldAnswer(exchange.context.held, MAX_HELD_BYTES)
        # Whether the answer is forwarded as it arrives.
        self.begun = False
        self._complete = False

    def start_attempt(self) -> None:
        """Reset the state for a new attempt."""
        self.close()
        self._complete = False

    def close(self) -> None:
        """Release what is held, as the exchange ends."""
        self._body = bytearray()
        self._held.resize(0)

    def on_head(self, attempt: Attempt, head: EngineHead) -> None:
        """Record when the answer started."""
        attempt.record_first_token(self._exchange.context.now_s())

    def on_data(self, attempt: Attempt, chunk: bytes) -> None:
        """Buffer the bytes; forward a large answer as it arrives."""
        attempt.record_progress(self._exchange.context.now_s())
        if self.begun:
            self._forward(attempt, chunk)
            return
        self._body += chunk
        if self._held.resize(len(self._body)):
            return
        if attempt.head.not_run or self._withholds(attempt.head):
            attempt.fail('rejection exceeds the size limit', _MALFORMED)
            return
        self.begun = True
        self._exchange.record_first_byte()
        self._exchange.responder.start(
            attempt.head.status,
            attempt.head.headers,
        )
        held = bytes(self._body)
        self.close()
        self._forward(attempt, held)

    def on_end(self, attempt: Attempt, head: EngineHead) -> None:
        """Forward the complete answer, or have the request retried."""
        exchange = self._exchange
        exchange.record_answered(attempt)
        if self.begun:
            exchange.finish(head.status, _name_outcome(head))
            exchange.responder.end()
            return
        self._complete = True
        if self._withholds(head):
            exchange.context.metrics.count('unconfirmed_rejection')
            exchange.handle_failure(
                attempt,
                FailureCause.ERROR,
                'engine rejected without stating that it did not run',
            )
            return
        if head.status >= _SERVER_ERROR and exchange.route.retryable:
            exchange.handle_failure(
                attempt,
                FailureCause.ERROR,
                'engine returned a server error',
            )
            return
        self._respond(head)

    def forward_failure(self, attempt: Attempt) -> bool:
        """Forward the engine's error response, if it is complete."""
        head = attempt.head
        if not self._complete or head is None or head.not_run:
            return False
        if head.status < _FIRST_ERROR or self._withholds(head):
            return False
        self._respond(head)
        return True

    def _withholds(self, head: EngineHead) -> bool:
        # The caller would repeat a request that may have run. One that may run
        # more than once gets the engine's own status.
        return head.unconfirmed_rejection and not self._exchange.route.retryable

    def _respond(self, head: EngineHead) -> None:
        exchange = self._exchange
        exchange.record_first_byte()
        body = bytes(self._body)
        exchange.sent_bytes = len(body)
        exchange.finish(head.status, _name_outcome(head))
        exchange.responder.respond(head.status, head.headers, body)

    def _forward(self, attempt: Attempt, chunk: bytes) -> None:
        self._exchange.forward(chunk)
        _apply_backpressure(self._exchange, attempt)


class StreamDelivery:
    """Forward complete events, in order and once, over several attempts."""

    def __init__(self, exchange: 'Exchange') -> None:
        """Start before the first event."""
        self._exchange = exchange
        self._splitter = EventSplitter()
        self._held = HeldAnswer(exchange.context.held, MAX_EVENT_BYTES)
        self._failure = BufferedDelivery(exchange)
        self._streaming = False
        # Whether the engine of this attempt has sent an event.
        self._has_events = False

    @property
    def begun(self) -> bool:
        """Tell whether the caller has a part of an answer without events."""
        return self._failure.begun

    def start_attempt(self) -> None:
        """Reset the state, to resume after the last forwarded event."""
        self._splitter = EventSplitter()
        self._streaming = False
        self._has_events = False
        self._held.resize(0)
        self._failure.start_attempt()

    def close(self) -> None:
        """Release what is held, as the exchange ends."""
        self._held.resize(0)
        self._failure.close()

    def on_head(self, attempt: Attempt, head: EngineHead) -> None:
        """Check the head; the answer may be escalated to a larger model."""
        if head.status != _OK or head.not_run:
            return
        self._streaming = True
        if not self._exchange.responder.started:
            self._exchange.check_confidence(attempt, head)

    def on_data(self, attempt: Attempt, chunk: bytes) -> None:
        """Forward the events that are complete."""
        if not self._streaming:
            if self.begun or not self._exchange.responder.started:
                self._failure.on_data(attempt, chunk)
            return
        events = self._split(attempt, chunk)
        self._has_events = self._has_events or any(
            not event.is_comment for event in events
        )
        events = self._take_new(events)
        if not events:
            return
        pieces = sum(not event.is_comment for event in events)
        if pieces:
            attempt.record_progress(self._exchange.context.now_s())
            self._exchange.record_events(attempt, pieces)
        if attempt.first_s is None:
            self._exchange.record_first_token(attempt)
        self._forward_events(attempt, events)
        _apply_backpressure(self._exchange, attempt)

    def on_end(self, attempt: Attempt, head: EngineHead) -> None:
        """End the stream if it is complete."""
        exchange = self._exchange
        if not self._streaming:
            self._end_failure(attempt, head)
            return
        broken = self._find_break(head)
        if broken is not None:
            exchange.on_attempt_failed(attempt, broken)
            return
        self._begin(attempt)
        exchange.record_answered(attempt)
        exchange.finish(head.status, 'served')
        exchange.responder.end()

    def forward_failure(self, attempt: Attempt) -> bool:
        """Forward the engine's error response, unless events were sent."""
        if self._streaming or self._exchange.responder.started:
            return False
        return self._failure.forward_failure(attempt)

    def _split(self, attempt: Attempt, chunk: bytes) -> list[StreamEvent]:
        try:
            events = self._splitter.feed(chunk)
        except EventTooLargeError:
            attempt.fail('event exceeds the size limit', _MALFORMED)
            return []
        if self._held.resize(len(self._splitter.rest)):
            return events
        attempt.fail('unfinished answers hold too much memory', _MALFORMED)
        return []

    def _find_break(self, head: EngineHead) -> HttpFailed | None:
        if self._splitter.rest:
            return HttpFailed('stream ended within an event', True)
        if head.close_delimited and not self._has_events:
            return HttpFailed('connection closed before an event', True)
        return None

    def _end_failure(self, attempt: Attempt, head: EngineHead) -> None:
        exchange = self._exchange
        if self.begun or not exchange.responder.started:
            self._failure.on_end(attempt, head)
            return
        # The caller has a part of the stream, so no other answer fits.
        exchange.record_answered(attempt)
        exchange.handle_failure(
            attempt,
            FailureCause.ERROR,
            f'engine continued a stream with status {head.status}',
        )

    def _begin(self, attempt: Attempt) -> None:
        if self._exchange.responder.started:
            return
        self._exchange.record_first_byte()
        self._exchange.responder.start(
            attempt.head.status,
            attempt.head.headers,
        )

    def _take_new(self, events: list[StreamEvent]) -> list[StreamEvent]:
        exchange = self._exchange
        new = []
        for event in events:
            if _is_repeated(event, exchange.last_event_id):
                continue
            new.append(event)
            if event.event_id is not None:
                exchange.last_event_id = event.event_id
        return new

    def _forward_events(
        self,
        attempt: Attempt,
        events: list[StreamEvent],
    ) -> None:
        self._begin(attempt)
        self._exchange.forward(b''.join(event.content for event in events))


def _name_outcome(head: EngineHead) -> str:
    return 'served' if head.status < _FIRST_ERROR else 'engine-error'


def _is_repeated(event: StreamEvent, last_event_id: str | None) -> bool:
    if event.event_id is None or last_event_id is None:
        return False
    try:
        return int(event.event_id) <= int(last_event_id)
    except ValueError:
        return event.event_id == last_event_id


def _apply_backpressure(exchange: 'Exchange', attempt: Attempt) -> None:
    connection = attempt.connection
    if connection is None or attempt.ended:
        return
    if not exchange.responder.congested:
        return
    pending_bytes = exchange.responder.connection.pending_bytes
    calm = not exchange.context.memory.is_tight
    if calm and pending_bytes < MAX_UNREAD_BYTES:
        return
    connection.pause()
    attempt.paused = True
    exchange.responder.on_drained(lambda: _resume(attempt))


def _resume(attempt: Attempt) -> None:
    if attempt.ended or attempt.connection is None or not attempt.paused:
        return
    attempt.paused = False
    attempt.connection.resume()
