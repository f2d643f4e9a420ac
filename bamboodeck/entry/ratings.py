"""Have answers rated, and tell how long ratings take just now."""

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

MAX_WAITING = 256
MAX_FAILURES_IN_A_ROW = 3
DELAY_SMOOTHING = 0.1

OnRated = Callable[[Scored | NotScored], None]
OnDelay = Callable[[float | None], None]


class RatingCaller:
    """Call the rating service, with a bound on the calls that wait."""

    def __init__(
        self,
        ratings: RatingPort | None,
        monotonic_s: Callable[[], float],
        on_delay: OnDelay,
    ) -> None:
        """Keep the service, if there is one, and who plans by its delay."""
        self._ratings = ratings
        self._clock_s = monotonic_s
        self._on_delay = on_delay
        self._waiting = 0
        self._failures = 0
        self._delay_s = 0.0
        if ratings is None:
            on_delay(None)

    def rate(self, answer: AnswerToRate, on_rated: OnRated) -> None:
        """Call back with the score, or with its absence in time."""
        if self._ratings is None or self._waiting >= MAX_WAITING:
            on_rated(NotScored(late=False))
            return
        self._waiting += 1
        request = RateAnswer(
            answer.request_id,
            answer.version,
            answer.customer,
            answer.request_class,
            answer.text,
        )
        self._ratings.rate(
            request,
            functools.partial(self._take, on_rated, self._clock_s()),
        )

    def _take(
        self,
        on_rated: OnRated,
        asked_s: float,
        reply: RatingReply,
    ) -> None:
        self._waiting -= 1
        match reply:
            case Rated(score):
                self._note_delay(self._clock_s() - asked_s)
                on_rated(Scored(score))
            case RatingUnavailable(_, late):
                self._note_failure()
                on_rated(NotScored(late=late))

    def _note_delay(self, delay_s: float) -> None:
        if not self._delay_s:
            self._delay_s = delay_s
        self._delay_s += DELAY_SMOOTHING * (delay_s - self._delay_s)
        self._failures = 0
        self._on_delay(self._delay_s)

    def _note_failure(self) -> None:
        self._failures += 1
        if self._failures == MAX_FAILURES_IN_A_ROW:
            # No cascade is planned until a rating comes again.
            self._on_delay(None)
