"""Have weights fetched and send orders to engines."""

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

# Not longer than what leases count for an order in flight.
ORDER_TIMEOUT_S = 5.0
STORE_RETRY_S = 5.0
MAX_STORE_RETRY_S = 60.0
ORDER_PATH = '/orders'
_OK = 200
_CONFLICT = 409


class EngineOrderBody(msgspec.Struct, frozen=True):
    """Hold the body of an order, as engines publish it."""

    action: Literal['load', 'unload']
    fencing_number: int
    version: str


@dataclass(frozen=True, slots=True)
class EngineOrderAnswered:
    """Log what an engine said to an order."""

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
    """Log that no weights are asked for during some seconds."""

    reason: str
    retry_after_s: float


class OrderDesk(Protocol):
    """Decide about an order at the last moment, and hear of failures."""

    def find_obstacle(self, order: PlacementOrder, term: int) -> str:
        """Say why an order must not go out now; empty if it may."""

    def on_not_sent(self, order: PlacementOrder, term: int) -> None:
        """Learn that an order never reached its engine."""

    def on_store_closed(self, retry_after_s: float, term: int) -> None:
        """Learn that the weight store serves nothing for some seconds."""


class OrderSender:
    """Send each order once at a time; repeats change nothing at an engine."""

    def __init__(
        self,
        client: HttpClient,
        log: EventLog,
        weights: WeightStorePort,
        find_engine: Callable[[str], Engine | None],
        desk: OrderDesk,
    ) -> None:
        """Keep the ports."""
        self.counters: Counter[str] = Counter()
        self._client = client
        self._log = log
        self._weights = weights
        self._find_engine = find_engine
        self._desk = desk
        self._busy: set[tuple[PlacementOrder, int]] = set()
        self._retry_s = STORE_RETRY_S

    def send(self, order: PlacementOrder, term: int) -> None:
        """Send an order, a load once its weights are fetched."""
        if (order, term) in self._busy:
            return
        self._busy.add((order, term))
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
        self._busy.discard((order, term))
        self._desk.on_store_closed(retry_after_s, term)
        self._desk.on_not_sent(order, term)

    def _send(self, order: PlacementOrder, term: int) -> None:
        """Send an order if it is still right, as it may have waited."""
        obstacle = self._desk.find_obstacle(order, term)
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
        self._busy.discard((order, term))
        self._log.emit(
            EngineOrderDropped(
                order.engine,
                order.version,
                _action(order),
                term,
                reason,
            ),
        )
        self._desk.on_not_sent(order, term)

    def _on_answered(
        self,
        order: PlacementOrder,
        term: int,
        outcome: HttpOutcome,
    ) -> None:
        """Note an answer; only reports show whether an order took effect."""
        self._busy.discard((order, term))
        told = _describe(outcome)
        self.counters[f'orders_{told}'] += 1
        self._log.emit(
            EngineOrderAnswered(
                order.engine,
                order.version,
                _action(order),
                term,
                told,
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
