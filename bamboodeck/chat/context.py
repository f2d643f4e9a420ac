"""Define what a chat exchange works with."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bamboodeck.billing.messages import DedupWindow
from bamboodeck.configuration.model import (
    Configuration,
    Customer,
    Model,
    RequestClass,
)
from bamboodeck.environment import Environment
from bamboodeck.http.client import HttpClient
from bamboodeck.invariants import Invariants
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.refusals import Refusal
from bamboodeck.routing.router import Router
from bamboodeck.streaming.messages import Usage


@dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """Tell what a whole answer costs its customer.

    The fingerprint covers the customer and the body of the request.
    """

    request_id: str
    fingerprint: bytes
    customer: str
    request_class: str
    version: str
    usage: Usage
    price_credits: float
    window: DedupWindow = DedupWindow.HOUR


@dataclass(frozen=True, slots=True)
class ProviderCost:
    """Tell what one attempt cost at its provider."""

    request_id: str
    customer: str
    model: Model
    usage: Usage
    cost_credits: float
    wasted: bool


@dataclass(frozen=True, slots=True)
class AnswerToRate:
    """Hold an answer whose rating is wanted."""

    request_id: str
    version: str
    customer: str
    request_class: str
    text: str


@dataclass(frozen=True, slots=True)
class Scored:
    """Tell the score of an answer, from 0 to 1."""

    score: float


@dataclass(frozen=True, slots=True)
class NotScored:
    """Tell that no rating came; `late` tells a timeout from an outage."""

    late: bool


@enum.unique
class AttemptEnding(enum.Enum):
    """Tell how an attempt on an engine ended."""

    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    CRASHED = 'crashed'


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Tell how an attempt on an engine ended."""

    request_id: str
    customer: str
    request_class: str
    version: str
    engine: str
    ending: AttemptEnding
    latency_s: float


@dataclass(frozen=True, slots=True)
class AdmissionWanted:
    """Ask for the admission of a request."""

    customer: Customer
    request_class: RequestClass
    tokens: int
    deadline_s: float
    fingerprint: str


@dataclass(frozen=True, slots=True)
class CallerAnswered:
    """Tell how a request ended for its caller."""

    request_class: str
    outcome: str
    first_token_s: float
    total_s: float
    output_tokens: int


class BillPort(Protocol):
    """Record what is billed and what is spent."""

    def bill(
        self,
        answered: AnsweredRequest,
        on_held: Callable[[], None],
    ) -> None:
        """Call back once another host holds the bill record."""

    def spend(self, cost: ProviderCost) -> None:
        """Record what an attempt cost."""


class RatingPort(Protocol):
    """Have answers rated."""

    def rate(
        self,
        answer: AnswerToRate,
        on_rated: Callable[[Scored | NotScored], None],
    ) -> None:
        """Call back with the score, or with its absence in time."""


class Watcher(Protocol):
    """Hear of events that other slices judge."""

    def on_attempt(self, outcome: AttemptOutcome) -> None:
        """Take the outcome of an attempt."""

    def on_rated(
        self,
        answer: AnswerToRate,
        score: float,
        step: int,
        *,
        delivered: bool = True,
    ) -> None:
        """Take the score of an answer, which its caller may not get."""

    def on_answered(self, answered: CallerAnswered) -> None:
        """Take the end of a request."""


class Gatekeeper(Protocol):
    """Admit requests and retries."""

    def admit(self, asked: AdmissionWanted) -> Refusal | None:
        """Take a request in, or say why not."""

    def end(self, customer: str, service_s: float) -> None:
        """Learn that an admitted request has ended."""

    def may_retry(self) -> bool:
        """Take a retry from the budget, if there is one."""

    def check_poison(self, fingerprint: str) -> Refusal | None:
        """Say why a request must not be tried again, if it must not."""

    def engines_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the engines on which an attempt would blur a crash."""

    def reserve(
        self,
        fingerprint: str,
        engine: str,
        on_change: Callable[[], None],
    ) -> bool:
        """Tell whether a request may run now, or say later to route anew."""

    def wait(self, fingerprint: str, on_change: Callable[[], None]) -> bool:
        """Tell whether a request without an engine waits for its turn."""

    def attempt_started(self, fingerprint: str, engine: str) -> None:
        """Learn that a request runs on an engine."""

    def attempt_ended(
        self,
        fingerprint: str,
        engine: str,
        ending: AttemptEnding,
    ) -> None:
        """Learn how a request's run on an engine ended."""


class DecisionLog(Protocol):
    """Log decisions and keep them for a while to explain them."""

    def record(self, request_id: str, event) -> None:
        """Log a decision on a request."""


@dataclass(frozen=True)
class ChatContext:
    """Hold what all chat exchanges of a node share."""

    environment: Environment
    scheduler: Scheduler
    client: HttpClient
    router: Router
    bills: BillPort
    ratings: RatingPort
    watcher: Watcher
    gatekeeper: Gatekeeper
    decisions: DecisionLog
    invariants: Invariants
    region: str
    zone: str
    configuration: Callable[[], Configuration]
    leaving_addresses: Callable[[], frozenset[str]]
