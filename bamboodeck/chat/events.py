"""Define the log events of chat exchanges."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteDecided:
    """Log the version and engine chosen for a request."""

    request_id: str
    customer: str
    request_class: str
    version: str
    engine: str
    reason: str
    rejected: int
    expected_cost_credits: float
    cascade: str
    attempt: int
    resume_from: int
    score_per_credit: float


@dataclass(frozen=True, slots=True)
class RouteDeclined:
    """Log why a request could not be routed."""

    request_id: str
    customer: str
    request_class: str
    code: str
    message: str
    rejected: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Log why an attempt on an engine ended early."""

    request_id: str
    engine: str
    version: str
    reason: str
    tokens_passed: int


@dataclass(frozen=True, slots=True)
class CascadeJudged:
    """Log whether a buffered answer was accepted."""

    request_id: str
    version: str
    accepted: bool
    reason: str
    next_version: str


@dataclass(frozen=True, slots=True)
class AnswerSent:
    """Log how a request ended."""

    request_id: str
    customer: str
    version: str
    run: str
    outcome: str
    input_tokens: int
    output_tokens: int
    price_credits: float
    first_token_s: float
    total_s: float
    dropped_chunks: int
