"""Define the log events of waiting and rejected requests."""

import msgspec


class RequestWaits(msgspec.Struct, frozen=True):
    """Log that a request was queued."""

    request_id: str
    service: str
    rank: int
    waiting: int
    expected_ms: float
    customer: str
    # Predicted work in milliseconds of engine time.
    work_ms: float
    # In relation to its route: `small`, `usual` or `large`.
    size: str
    # `first`, or whether it came back after a rejection `as_told` or `early`.
    repeat: str
    # Requests that go before it.
    ahead: int


class RequestShed(msgspec.Struct, frozen=True):
    """Log a request that was rejected as its service is overloaded.

    The reason is `full`, `expected-late`, `too-late` or `limited`.
    """

    request_id: str
    service: str
    reason: str
    rank: int
    customer: str
    work_ms: float
    size: str
    repeat: str
    waiting: int
    waited_ms: float
    left_ms: float
    retry_after_ms: float
