"""Fetch weights and send placement orders to engines."""

import functools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal, Protocol

import msgspec

from bamboodeck.configuration.model import Engine
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    JSON_TYPE,
    Header,
    HttpCall,
    HttpFailed,
    HttpOutcome,
    HttpReply,
    parse_address,
)
from bamboodeck.logs import EventLog
from bamboodeck.placement.state import (
    LoadVersion,
    PlacementOrder,
    UnloadVersion,
)
from bamboodeck.external.weight_store import (
    FetchWeights,
    WeightsFetched,
    WeightsLimited,
    WeightStorePort,
    WeightStoreReply,
    WeightStoreUnavailable,
)

# Must not exceed LeaseLimits.max_order_s, the bound for orders in flight.
ORDER_TIMEOUT_S = 5.0
STORE_RETRY_S = 5.0
MAX_STORE_RETRY_S = 60.0
ORDER_PATH = '/orders'
_OK = 200
_CONFLICT = 409


class EngineOrderBody(msgspec.Struct, frozen=True):
    """Define the JSON body of an order, as in the engines' API."""

    action: Literal['load', 'unload']
    fencing_number: int
    version: str


@dataclass(frozen=True, slots=True)
class EngineOrderAnswered:
    """Log an engine's answer to an order."""

    engine: str
    version: str
    action: str
    fencing_number: int
    outcome: str


@dataclass(frozen=True, slots=True)
class EngineOrderDropped:
    """Log that an order was not sent."""

    engine: str
    version: str
    action: str
    fencing_number: int
    reason: str


@dataclass(frozen=True, slots=True)
class WeightStoreClosed:
    """Log that weight requests pause for some seconds."""

    reason: str
    retry_after_s: float


class OrderDelegate(Protocol):
    """Check orders just before they are sent and handle failures."""

    def find_obstacle(self, order: PlacementOrder, term: int) -> str:
        """Return why an order must not be sent now; empty if it may."""

    def on_not_sent(self, order: PlacementOrder, term: int) -> None:
        """Handle an order that was not sent to its engine."""

    def on_store_closed(self, retry_after_s: float, term: int) -> None:
        """Handle a pause of the weight store for some seconds."""


class OrderSender:
    """Send each order once at a time; orders are idempotent for engines."""

    def __init__(
        self,
        client: HttpClient,
        log: EventLog,
        weights: WeightStorePort,
        find_engine: Callable[[str], Engine | None],
        delegate: OrderDelegate,
    ) -> None:
        """Start with no order in flight."""
        self.counters: Counter[str] = Counter()
        self._client = client
        self._log = log
        self._weights = weights
        self._find_engine = find_engine
        self._delegate = delegate
        self._in_flight: set[tuple[PlacementOrder, int]] = set()
        self._retry_s = STORE_RETRY_S

    def send(self, order: PlacementOrder, term: int) -> None:
        """Send an order; for a load, fetch the weights first."""
        if (order, term) in self._in_flight:
            return
        self._in_flight.add((order, term))
        match order:
            case LoadVersion(engine, version):
                self.counters['fetches'] += 1
                self._weights.fetch(
                    FetchWeights(version, engine),
                    functools.partial(self._on_fetched, order, term),
                )
            case UnloadVersion():
                self._send(order, term)

    def _on_fetched(
        self,
        order: LoadVersion,
        term: int,
        reply: WeightStoreReply,
    ) -> None:
        match reply:
            case WeightsFetched():
                self._retry_s = STORE_RETRY_S
                self._send(order, term)
            case WeightsLimited(retry_after_s):
                self.counters['fetches_limited'] += 1
                self._close_store(order, term, 'limited', retry_after_s)
            case WeightStoreUnavailable(reason):
                self.counters['fetches_failed'] += 1
                wait_s = self._retry_s
                self._retry_s = min(2 * wait_s, MAX_STORE_RETRY_S)
                self._close_store(order, term, reason, wait_s)

    def _close_store(
        self,
        order: LoadVersion,
        term: int,
        reason: str,
        retry_after_s: float,
    ) -> None:
        self._log.warn(WeightStoreClosed(reason, retry_after_s))
        self._in_flight.discard((order, term))
        self._delegate.on_store_closed(retry_after_s, term)
        self._delegate.on_not_sent(order, term)

    def _send(self, order: PlacementOrder, term: int) -> None:
        """Send an order unless an obstacle arose while it waited."""
        obstacle = self._delegate.find_obstacle(order, term)
        engine = self._find_engine(order.engine)
        if engine is None:
            obstacle = 'engine is gone'
        if obstacle:
            self._drop(order, term, obstacle)
            return
        body = EngineOrderBody(_action(order), term, order.version)
        self.counters[f'{body.action}s_sent'] += 1
        self._client.send(
            HttpCall(
                parse_address(engine.address),
                'POST',
                ORDER_PATH,
                msgspec.json.encode(body),
                (Header('Content-Type', JSON_TYPE),),
                ORDER_TIMEOUT_S,
            ),
            functools.partial(self._on_answered, order, term),
        )

    def _drop(self, order: PlacementOrder, term: int, reason: str) -> None:
        self.counters['orders_dropped'] += 1
        self._in_flight.discard((order, term))
        self._log.emit(
            EngineOrderDropped(
                order.engine,
                order.version,
                _action(order),
                term,
                reason,
            ),
        )
        self._delegate.on_not_sent(order, term)

    def _on_answered(
        self,
        order: PlacementOrder,
        term: int,
        outcome: HttpOutcome,
    ) -> None:
        """Log an answer; only the engine's reports show the effect."""
        self._in_flight.discard((order, term))
        outcome_name = _describe(outcome)
        self.counters[f'orders_{outcome_name}'] += 1
        self._log.emit(
            EngineOrderAnswered(
                order.engine,
                order.version,
                _action(order),
                term,
                outcome_name,
            ),
        )


def _action(order: PlacementOrder) -> Literal['load', 'unload']:
    match order:
        case LoadVersion():
            return 'load'
        case UnloadVersion():
            return 'unload'


def _describe(outcome: HttpOutcome) -> str:
    match outcome:
        case HttpFailed():
            return 'unknown'
        case HttpReply(status=status) if status == _OK:
            return 'taken'
        case HttpReply(status=status) if status == _CONFLICT:
            return 'fenced_off'
        case _:
            return 'refused'
