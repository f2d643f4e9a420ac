"""Define the messages of routing."""

import enum
from dataclasses import dataclass

from bamboodeck.configuration.model import Customer, RequestClass


@enum.unique
class RefusalCode(enum.Enum):
    """Enumerate the reasons for refusing a request before it runs."""

    VERSION_WITHDRAWN = 'version_withdrawn'
    VERSION_BLOCKED = 'version_blocked'
    VERSION_NOT_ALLOWED = 'version_not_allowed'
    VERSION_UNKNOWN = 'version_unknown'
    VERSION_IN_ROLLOUT = 'version_in_rollout'
    NO_VERSION = 'no_version'
    NO_ENGINE = 'no_engine'
    OVERLOADED = 'overloaded'


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Ask where a request should run; `deadline_s` counts from now."""

    request_id: str
    customer: Customer
    request_class: RequestClass
    session_version: str | None
    requested_model: str | None
    prompt_tokens: int
    prefix_hash: int
    stream: bool
    deadline_s: float
    attempt: int = 0
    excluded_engines: frozenset[str] = frozenset()
    opens_session: bool = False


@dataclass(frozen=True, slots=True)
class RouteChosen:
    """Name the version and engine to run, and a cascade's later versions.

    A step's answer is accepted if it scores at least the step's entry in
    `acceptance_scores`.
    """

    version: str
    engine: str
    address: str
    expected_cost_credits: float
    reason: str
    rejected_count: int
    cascade: tuple[str, ...] = ()
    acceptance_scores: tuple[float, ...] = ()
    score_per_credit: float = 0.0

    @property
    def acceptance_score(self) -> float:
        """Return the lowest score at which the first answer is accepted."""
        return self.acceptance_scores[0] if self.acceptance_scores else 1.0


@dataclass(frozen=True, slots=True)
class RouteRefused:
    """Report why a request isn't run and when a retry may succeed."""

    code: RefusalCode
    message: str
    retry_after_s: float
    rejected_count: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Report an engine's load; `measured_s` is on this node's clock."""

    engine: str
    running: int
    queued: int
    measured_s: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report a prefix that an engine stored or evicted.

    An engine numbers its events, so a gap in the sequence is a lost event.
    """

    engine: str
    sequence: int
    prefix_hash: int
    stored: bool


@dataclass(frozen=True, slots=True)
class CreditPrice:
    """Set the present price of a provider's credit; 1 is its face value."""

    provider: str
    price: float


RouteDecision = RouteChosen | RouteRefused
