"""Pass an engine's answer on: whole answers at their end, streams by events."""

from typing import TYPE_CHECKING, Protocol

from bamboodeck.gateway.attempt import Attempt
from bamboodeck.gateway.model import EngineHead, RouteKind
from bamboodeck.gateway.retrying import FailureCause
from bamboodeck.gateway.streams import (
    EventSplitter,
    EventTooLargeError,
    StreamEvent,
)
from bamboodeck.http.messages import FailureKind

if TYPE_CHECKING:
    from bamboodeck.gateway.exchange import Exchange

# A larger answer is passed on as it arrives and can't be repeated any more.
MAX_HELD_BYTES = 1_048_576

_OK = 200
_FIRST_ERROR = 400
_SERVER_ERROR = 500


class Delivery(Protocol):
    """Turn what engines answer into what the caller gets."""

    def start_attempt(self) -> None:
        """Expect the answer of another engine."""

    def take_head(self, attempt: Attempt, head: EngineHead) -> None:
        """Take the head of an answer."""

    def take_data(self, attempt: Attempt, chunk: bytes) -> None:
        """Take the next bytes of an answer."""

    def take_end(self, attempt: Attempt, head: EngineHead) -> None:
        """Take the end of an answer."""

    def pass_on_failure(self, attempt: Attempt) -> bool:
        """Pass on the engine's own failure, if it gave one whole."""


def build_delivery(exchange: 'Exchange') -> Delivery:
    """Build what fits the kind of a route."""
    match exchange.route.kind:
        case RouteKind.STREAM:
            return StreamDelivery(exchange)
        case RouteKind.SAFE | RouteKind.UNSAFE:
            return WholeDelivery(exchange)


class WholeDelivery:
    """Hold an answer until it is whole, so a broken one can be repeated."""

    def __init__(self, exchange: 'Exchange') -> None:
        """Start without an answer."""
        self._exchange = exchange
        self._body = bytearray()
        self._pushing = False
        self._whole = False

    def start_attempt(self) -> None:
        """Expect the answer of another engine."""
        self._body = bytearray()
        self._whole = False

    def take_head(self, attempt: Attempt, head: EngineHead) -> None:
        """Note when the answer began."""
        attempt.record_first_token(self._exchange.context.now_s())

    def take_data(self, attempt: Attempt, chunk: bytes) -> None:
        """Keep the bytes; pass a large answer on as it arrives."""
        if self._pushing:
            self._push(attempt, chunk)
            return
        self._body += chunk
        if len(self._body) <= MAX_HELD_BYTES or attempt.head.not_run:
            return
        self._pushing = True
        self._exchange.record_first_byte()
        self._exchange.responder.start(
            attempt.head.status,
            attempt.head.headers,
        )
        self._push(attempt, bytes(self._body))

    def take_end(self, attempt: Attempt, head: EngineHead) -> None:
        """Pass the whole answer on, or have the request repeated."""
        exchange = self._exchange
        if self._pushing:
            exchange.finish(head.status, 'served')
            exchange.responder.end()
            return
        self._whole = True
        if head.status < _FIRST_ERROR and not head.stamped:
            exchange.follow(attempt, FailureCause.BROKEN, 'answer has no stamp')
            return
        exchange.record_answered(attempt)
        if head.status >= _SERVER_ERROR and exchange.route.retryable:
            exchange.follow(attempt, FailureCause.ERROR, 'engine failed')
            return
        self._respond(head)

    def pass_on_failure(self, attempt: Attempt) -> bool:
        """Pass on the engine's own failure, if it gave one whole."""
        head = attempt.head
        if not self._whole or head is None or head.not_run:
            return False
        if head.status < _FIRST_ERROR:
            return False
        self._respond(head)
        return True

    def _respond(self, head: EngineHead) -> None:
        exchange = self._exchange
        exchange.record_first_byte()
        exchange.sent_bytes = len(self._body)
        outcome = 'served' if head.status < _FIRST_ERROR else 'engine-error'
        exchange.finish(head.status, outcome)
        exchange.responder.respond(
            head.status,
            head.headers,
            bytes(self._body),
        )

    def _push(self, attempt: Attempt, chunk: bytes) -> None:
        self._exchange.pass_on(chunk)
        _slow_down(self._exchange, attempt)


class StreamDelivery:
    """Pass whole events on, in order and each once, over several engines."""

    def __init__(self, exchange: 'Exchange') -> None:
        """Start before the first event."""
        self._exchange = exchange
        self._splitter = EventSplitter()
        self._failure = WholeDelivery(exchange)
        self._streaming = False

    def start_attempt(self) -> None:
        """Expect the events after the last one that was passed on."""
        self._splitter = EventSplitter()
        self._streaming = False
        self._failure.start_attempt()

    def take_head(self, attempt: Attempt, head: EngineHead) -> None:
        """Judge the head; its answer may be dropped for a better one."""
        if head.status != _OK or head.not_run:
            return
        if not head.stamped:
            attempt.fail('stream has no stamp', FailureKind.MALFORMED)
            return
        self._streaming = True
        if not self._exchange.responder.begun:
            self._exchange.judge(attempt, head)

    def take_data(self, attempt: Attempt, chunk: bytes) -> None:
        """Pass on the events that are whole."""
        if not self._streaming:
            self._failure.take_data(attempt, chunk)
            return
        try:
            events = self._splitter.feed(chunk)
        except EventTooLargeError:
            attempt.fail('event without an end', FailureKind.MALFORMED)
            return
        if not events:
            return
        if attempt.first_s is None:
            self._exchange.record_first_token(attempt)
        self._pass_on(attempt, events)
        _slow_down(self._exchange, attempt)

    def take_end(self, attempt: Attempt, head: EngineHead) -> None:
        """End the stream if it is whole."""
        exchange = self._exchange
        if not self._streaming:
            self._failure.take_end(attempt, head)
            return
        if self._splitter.rest:
            exchange.follow(attempt, FailureCause.BROKEN, 'event is cut off')
            return
        self._begin(attempt)
        exchange.record_answered(attempt)
        exchange.finish(head.status, 'served')
        exchange.responder.end()

    def pass_on_failure(self, attempt: Attempt) -> bool:
        """Pass on the engine's own failure, unless events have gone out."""
        if self._streaming or self._exchange.responder.begun:
            return False
        return self._failure.pass_on_failure(attempt)

    def _begin(self, attempt: Attempt) -> None:
        if self._exchange.responder.begun:
            return
        self._exchange.record_first_byte()
        self._exchange.responder.start(
            attempt.head.status,
            attempt.head.headers,
        )

    def _pass_on(self, attempt: Attempt, events: list[StreamEvent]) -> None:
        exchange = self._exchange
        passed = []
        for event in events:
            if _is_repeated(event, exchange.last_event_id):
                continue
            passed.append(event.content)
            if event.event_id is not None:
                exchange.last_event_id = event.event_id
        if not passed:
            return
        self._begin(attempt)
        exchange.pass_on(b''.join(passed))


def _is_repeated(event: StreamEvent, last_event_id: str | None) -> bool:
    if event.event_id is None or last_event_id is None:
        return False
    try:
        return int(event.event_id) <= int(last_event_id)
    except ValueError:
        return event.event_id == last_event_id


def _slow_down(exchange: 'Exchange', attempt: Attempt) -> None:
    connection = attempt.connection
    if connection is None or attempt.ended:
        return
    if not exchange.responder.congested:
        return
    connection.pause()
    attempt.paused = True
    exchange.responder.on_drained(lambda: _go_on(attempt))


def _go_on(attempt: Attempt) -> None:
    if attempt.ended or attempt.connection is None or not attempt.paused:
        return
    attempt.paused = False
    attempt.connection.resume()
