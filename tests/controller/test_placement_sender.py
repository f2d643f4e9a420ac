"""Test fetching weights and checking and sending placement orders."""

import io
from collections.abc import Callable

import msgspec

from bamboodeck.configuration.model import Engine
from bamboodeck.controller.placement_sender import OrderSender
from bamboodeck.http.messages import HttpCall, HttpFailed, HttpReply
from bamboodeck.logs import build_event_log
from bamboodeck.placement.state import LoadVersion, UnloadVersion
from bamboodeck.external.weight_store import (
    WeightsFetched,
    WeightsLimited,
    WeightStoreUnavailable,
)

LOAD = LoadVersion('e1', 'a@1')
ENGINE = Engine('e1', '127.0.0.1:1', 'r', 'z', (), 8, slots=2)
FETCHED = WeightsFetched('a@1', 'e1', 1)


class DeferredCalls:
    """Keep calls with their callbacks, as HTTP client or weight store."""

    def __init__(self) -> None:
        """Start without calls."""
        self.asked: list[tuple[object, Callable]] = []
        self.send = self._keep
        self.fetch = self._keep

    def reply(self, reply: object) -> None:
        """Answer the oldest call."""
        self.asked.pop(0)[1](reply)

    def _keep(self, request: object, on_reply: Callable) -> None:
        self.asked.append((request, on_reply))


class Delegate:
    """Record the callbacks of the sender."""

    def __init__(self) -> None:
        """Start without an obstacle."""
        self.obstacle = ''
        self.not_sent: list[object] = []
        self.closed_s: list[float] = []

    def find_obstacle(self, order, term: int) -> str:
        """Return the obstacle set by the test."""
        return self.obstacle

    def on_not_sent(self, order, term: int) -> None:
        """Record the order."""
        self.not_sent.append(order)

    def on_store_closed(self, retry_after_s: float, term: int) -> None:
        """Record the delay."""
        self.closed_s.append(retry_after_s)


class Case:
    """Build a sender with its stand-ins."""

    def __init__(self) -> None:
        """Build the stand-ins and the sender."""
        self.client = DeferredCalls()
        self.weights = DeferredCalls()
        self.delegate = Delegate()
        self.sender = OrderSender(
            self.client,
            build_event_log(io.StringIO()),
            self.weights,
            {'e1': ENGINE}.get,
            self.delegate,
        )


class TestLoad:
    """Fetch the weights, then send the order."""

    def test_order_carries_the_term(self) -> None:
        """Send the fencing number under which the order was given."""
        case = Case()
        case.sender.send(LOAD, 7)
        case.sender.send(LOAD, 7)
        assert len(case.weights.asked) == 1
        case.weights.reply(FETCHED)
        call: HttpCall = case.client.asked[0][0]
        body = msgspec.json.decode(call.body)
        assert body == {
            'action': 'load',
            'fencing_number': 7,
            'version': 'a@1',
        }

    def test_obstacle_during_fetch(self) -> None:
        """Send nothing, and report that to the delegate."""
        case = Case()
        case.sender.send(LOAD, 7)
        case.delegate.obstacle = 'lease is not held'
        case.weights.reply(FETCHED)
        assert not case.client.asked
        assert case.delegate.not_sent == [LOAD]

    def test_limit(self) -> None:
        """Wait for the time that the store asks for."""
        case = Case()
        case.sender.send(LOAD, 7)
        case.weights.reply(WeightsLimited(9))
        assert case.delegate.closed_s == [9]
        assert case.delegate.not_sent == [LOAD]

    def test_outage(self) -> None:
        """Back off exponentially, up to a bound."""
        case = Case()
        for _ in range(6):
            case.sender.send(LOAD, 7)
            case.weights.reply(WeightStoreUnavailable('timeout'))
        assert case.delegate.closed_s == [5, 10, 20, 40, 60, 60]


class TestAnswers:
    """Count the answers of engines by outcome."""

    def test_outcomes(self) -> None:
        """Distinguish a fenced-off order from an unknown outcome."""
        case = Case()
        for outcome in (
            HttpReply(200, (), b''),
            HttpReply(409, (), b''),
            HttpReply(503, (), b''),
            HttpFailed('timeout', maybe_started=True),
        ):
            case.sender.send(UnloadVersion('e1', 'a@1'), 7)
            case.client.reply(outcome)
        counters = case.sender.counters
        assert counters['unloads_sent'] == 4
        assert counters['orders_taken'] == 1
        assert counters['orders_fenced_off'] == 1
        assert counters['orders_refused'] == 1
        assert counters['orders_unknown'] == 1
        assert not case.delegate.not_sent
