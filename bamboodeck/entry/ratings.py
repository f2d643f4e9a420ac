"""Call the rating service and track its latency."""

import functools
from collections.abc import Callable

from bamboodeck.chat.context import AnswerToRate, NotScored, Scored
from bamboodeck.external.rating import (
    RateAnswer,
    Rated,
    RatingPort,
    RatingReply,
    RatingUnavailable,
)

MAX_PENDING = 256
MAX_FAILURES_IN_A_ROW = 3
DELAY_SMOOTHING = 0.1

OnRated = Callable[[Scored | NotScored], None]
OnDelay = Callable[[float | None], None]


class RatingClient:
    """Call the rating service with a bounded number of pending calls."""

    def __init__(
        self,
        ratings: RatingPort | None,
        monotonic_s: Callable[[], float],
        on_delay: OnDelay,
    ) -> None:
        """Report the smoothed delay in seconds, or None during an outage."""
        self._ratings = ratings
        self._monotonic_s = monotonic_s
        self._on_delay = on_delay
        self._pending = 0
        self._failures = 0
        self._delay_s = 0.0
        if ratings is None:
            on_delay(None)

    def rate(self, answer: AnswerToRate, on_rated: OnRated) -> None:
        """Call back with the score, or with `NotScored`."""
        if self._ratings is None or self._pending >= MAX_PENDING:
            on_rated(NotScored(late=False))
            return
        self._pending += 1
        request = RateAnswer(
            answer.request_id,
            answer.version,
            answer.customer,
            answer.request_class,
            answer.text,
        )
        self._ratings.rate(
            request,
            functools.partial(self._on_reply, on_rated, self._monotonic_s()),
        )

    def _on_reply(
        self,
        on_rated: OnRated,
        sent_s: float,
        reply: RatingReply,
    ) -> None:
        self._pending -= 1
        match reply:
            case Rated(score):
                self._record_delay(self._monotonic_s() - sent_s)
                on_rated(Scored(score))
            case RatingUnavailable(_, late):
                self._record_failure()
                on_rated(NotScored(late=late))

    def _record_delay(self, delay_s: float) -> None:
        if not self._delay_s:
            self._delay_s = delay_s
        self._delay_s += DELAY_SMOOTHING * (delay_s - self._delay_s)
        self._failures = 0
        self._on_delay(self._delay_s)

    def _record_failure(self) -> None:
        self._failures += 1
        if self._failures == MAX_FAILURES_IN_A_ROW:
            # Disables cascades until a rating succeeds.
            self._on_delay(None)
