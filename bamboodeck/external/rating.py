"""Rate answers with the rating service of the platform."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Protocol

import msgspec

from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    JSON_TYPE,
    Address,
    Header,
    HttpCall,
    HttpFailed,
    HttpOutcome,
)
from bamboodeck.external.replies import BadReplyError, read_payload

DEFAULT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class RateAnswer:
    """Request the rating of an answer."""

    request_id: str
    version: str
    customer: str
    request_class: str
    answer: str


@dataclass(frozen=True, slots=True)
class Rated:
    """Reply with the quality of an answer, from 0 to 1."""

    score: Annotated[float, msgspec.Meta(ge=0, le=1)]


@dataclass(frozen=True, slots=True)
class RatingUnavailable:
    """Reply that there is no rating.

    `late` is true if the service may have started on the request but did not
    answer, false if it refused the request or never received it.
    """

    reason: str
    late: bool = False


RatingReply = Rated | RatingUnavailable


class RatingPort(Protocol):
    """Rate answers without blocking."""

    def rate(
        self,
        request: RateAnswer,
        on_reply: Callable[[RatingReply], None],
    ) -> None:
        """Request a rating; the callback gets exactly one reply."""


class HttpRating:
    """Rate answers over HTTP."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Keep the client and the address of the service."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    def rate(
        self,
        request: RateAnswer,
        on_reply: Callable[[RatingReply], None],
    ) -> None:
        """Request a rating; the callback gets exactly one reply."""
        call = HttpCall(
            self._address,
            'POST',
            '/rate',
            msgspec.json.encode(request),
            (Header('Content-Type', JSON_TYPE),),
            self._timeout_s,
        )
        self._client.send(
            call,
            lambda outcome: on_reply(_read_rating(outcome)),
        )


def _read_rating(outcome: HttpOutcome) -> RatingReply:
    if isinstance(outcome, HttpFailed):
        return RatingUnavailable(outcome.reason, late=outcome.maybe_started)
    try:
        return read_payload(outcome, Rated)
    except BadReplyError as error:
        return RatingUnavailable(str(error))
