"""Define the requests for admission and the decisions on them."""

import enum
from dataclasses import dataclass

NOT_RUN = 'not-run'


@enum.unique
class RefusalCode(enum.Enum):
    """Name the reason of a refusal in the answer to the caller."""

    NO_SHARE = 'limit_unknown'
    REQUEST_RATE = 'request_rate_limited'
    TOKEN_RATE = 'token_rate_limited'
    OVERLOADED = 'overloaded'
    FAIR_SHARE = 'fair_share_exceeded'
    DEADLINE = 'deadline_unreachable'
    POISON = 'request_crashes_engines'


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Ask for the admission of a request.

    `deadline_s` is the time that the caller still waits, `expected_s` the time
    that the answer takes on an engine that starts it immediately.
    """

    customer: str
    weight: float
    tokens: float
    deadline_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """Admit the request; `expected_wait_s` is the time until it starts."""

    expected_wait_s: float


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse the request before it runs."""

    code: RefusalCode
    message: str
    retry_after_s: float
    run: str = NOT_RUN


AdmissionDecision = Admitted | Refused
