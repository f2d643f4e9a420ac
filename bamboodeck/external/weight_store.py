"""Fetch weights from the rate-limited weight store of the platform."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    JSON_TYPE,
    Address,
    Header,
    HttpCall,
    HttpOutcome,
    HttpReply,
)
from bamboodeck.external.replies import (
    BadReplyError,
    read_payload,
    read_retry_after_s,
)

DEFAULT_TIMEOUT_S = 120.0

_TOO_MANY_REQUESTS = 429


@dataclass(frozen=True, slots=True)
class FetchWeights:
    """Request the weights of a version for an engine."""

    version: str
    engine: str


@dataclass(frozen=True, slots=True)
class WeightsFetched:
    """Reply that the weights have been fetched."""

    version: str
    engine: str
    size_bytes: int


@dataclass(frozen=True, slots=True)
class WeightsLimited:
    """Reply that the store accepts no further fetch for some seconds."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class WeightStoreUnavailable:
    """Reply that the fetch failed or got no answer."""

    reason: str


WeightStoreReply = WeightsFetched | WeightsLimited | WeightStoreUnavailable


class WeightStorePort(Protocol):
    """Fetch weights without blocking."""

    def fetch(
        self,
        request: FetchWeights,
        on_reply: Callable[[WeightStoreReply], None],
    ) -> None:
        """Request weights; the callback gets exactly one reply."""


class HttpWeightStore:
    """Fetch weights over HTTP."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Keep the client and the address of the store."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    def fetch(
        self,
        request: FetchWeights,
        on_reply: Callable[[WeightStoreReply], None],
    ) -> None:
        """Request weights; the callback gets exactly one reply."""
        call = HttpCall(
            self._address,
            'POST',
            '/fetch',
            msgspec.json.encode(request),
            (Header('Content-Type', JSON_TYPE),),
            self._timeout_s,
        )
        self._client.send(
            call,
            lambda outcome: on_reply(_read_fetch(outcome)),
        )


def _read_fetch(outcome: HttpOutcome) -> WeightStoreReply:
    is_limited = (
        isinstance(outcome, HttpReply) and outcome.status == _TOO_MANY_REQUESTS
    )
    if is_limited:
        return WeightsLimited(read_retry_after_s(outcome))
    try:
        return read_payload(outcome, WeightsFetched)
    except BadReplyError as error:
        return WeightStoreUnavailable(str(error))
