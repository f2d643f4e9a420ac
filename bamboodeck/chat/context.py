"""Define the ports and messages of chat exchanges."""

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
    """Complete answer to be billed to its customer.

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
    """Cost of one attempt at its provider."""

    request_id: str
    customer: str
    model: Model
    usage: Usage
    cost_credits: float
    wasted: bool


@dataclass(frozen=True, slots=True)
class AnswerToRate:
    """Answer to be rated."""

    request_id: str
    version: str
    customer: str
    request_class: str
    text: str


@dataclass(frozen=True, slots=True)
class Scored:
    """Rating score of an answer, from 0 to 1."""

    score: float


@dataclass(frozen=True, slots=True)
class NotScored:
    """Absence of a rating: a timeout if `late`, otherwise an outage."""

    late: bool


@enum.unique
class AttemptEnding(enum.Enum):
    """Result of an attempt on an engine."""

    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    CRASHED = 'crashed'


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Result and latency of an attempt on an engine."""

    request_id: str
    customer: str
    request_class: str
    version: str
    engine: str
    ending: AttemptEnding
    latency_s: float


@dataclass(frozen=True, slots=True)
class RequestToAdmit:
    """Request that awaits admission, with its estimated tokens."""

    customer: Customer
    request_class: RequestClass
    tokens: int
    deadline_s: float
    fingerprint: str


@dataclass(frozen=True, slots=True)
class CallerAnswered:
    """Result of a request as seen by its caller."""

    request_class: str
    outcome: str
    first_token_s: float
    total_s: float
    output_tokens: int


class BillPort(Protocol):
    """Port to the billing of answers and the metering of provider costs."""

    def bill(
        self,
        answered: AnsweredRequest,
        on_held: Callable[[], None],
    ) -> None:
        """Replicate a bill record; call back once another host holds it."""

    def record_cost(self, cost: ProviderCost) -> None:
        """Record the provider cost of an attempt."""


class RatingPort(Protocol):
    """Port to the rating of answers."""

    def rate(
        self,
        answer: AnswerToRate,
        on_rated: Callable[[Scored | NotScored], None],
    ) -> None:
        """Call back with the score, or with `NotScored`."""


class OutcomePort(Protocol):
    """Port to the components that evaluate outcomes."""

    def on_attempt(self, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt."""

    def on_rated(
        self,
        answer: AnswerToRate,
        score: float,
        step: int,
        *,
        delivered: bool = True,
    ) -> None:
        """Record the score of an answer, delivered to its caller or not."""

    def on_answered(self, answered: CallerAnswered) -> None:
        """Record the result of a request."""


class AdmissionPort(Protocol):
    """Port to the admission control of requests and attempts."""

    def admit(self, request: RequestToAdmit) -> Refusal | None:
        """Admit a request, or return the refusal."""

    def end(self, customer: str, service_s: float) -> None:
        """Release an admitted request that took `service_s` seconds."""

    def take_retry(self) -> bool:
        """Take a retry from the budget; return False if none is left."""

    def check_poison(self, fingerprint: str) -> Refusal | None:
        """Return a refusal if the request has crashed too many engines."""

    def engines_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the engines where a crash could not be attributed."""

    def reserve(
        self,
        fingerprint: str,
        engine: str,
        on_change: Callable[[], None],
    ) -> bool:
        """Return whether a request may run now; else call back to reroute."""

    def wait(self, fingerprint: str, on_change: Callable[[], None]) -> bool:
        """Return whether a request must wait; if so, call back to reroute."""

    def attempt_started(self, fingerprint: str, engine: str) -> None:
        """Record the start of an attempt."""

    def attempt_ended(
        self,
        fingerprint: str,
        engine: str,
        ending: AttemptEnding,
    ) -> None:
        """Record the end of an attempt."""


class DecisionLog(Protocol):
    """Port to the log and the history of decisions."""

    def record(self, request_id: str, event) -> None:
        """Record a decision on a request."""


@dataclass(frozen=True)
class ChatContext:
    """Dependencies shared by all exchanges of a node."""

    environment: Environment
    scheduler: Scheduler
    client: HttpClient
    router: Router
    bills: BillPort
    ratings: RatingPort
    outcomes: OutcomePort
    admission: AdmissionPort
    decisions: DecisionLog
    invariants: Invariants
    region: str
    zone: str
    configuration: Callable[[], Configuration]
    leaving_addresses: Callable[[], frozenset[str]]
