"""Stand-in for the rating service."""

from dataclasses import dataclass
from random import Random
from typing import Annotated

import msgspec

from bamboodeck.external.rating import RateAnswer, Rated
from bamboodeck.fakes.engine.text import BAD_MARKER
from bamboodeck.fakes.faults import Count, Duration, Fault
from bamboodeck.fakes.stand_in import (
    MS_PER_S,
    StandIn,
    respond_error,
    respond_json,
)
from bamboodeck.http.messages import Address, ApiRequest
from bamboodeck.http.responder import Responder
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop

BAD_SCORE = 0.1
ANY_CLASS = ''

Shift = Annotated[float, msgspec.Meta(ge=-1, le=1)]


@dataclass(frozen=True)
class Late(Fault):
    """Delay each rating."""

    delay_ms: Duration
    times: Count = 0
    for_s: Duration = 0


@dataclass(frozen=True)
class Biased(Fault):
    """Shift the scores of one version, or of all if it is empty."""

    shift: Shift
    version: str = ''
    for_s: Duration = 0


RATING_FAULTS: tuple[type[Fault], ...] = (Late, Biased)


@dataclass(frozen=True, slots=True)
class Quality:
    """Define the mean score of a version in a request class."""

    version: str
    request_class: str
    score: float


@dataclass(frozen=True)
class RatingSettings:
    """Configure the mean scores and the noise around them."""

    qualities: tuple[Quality, ...] = ()
    default_score: float = 0.8
    noise: float = 0.1


class RatingService:
    """Rate answers by a table, with noise seeded by request and version."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        settings: RatingSettings,
        log: EventLog,
    ) -> None:
        """Listen on an address."""
        self.stand_in = StandIn(loop, address, 'rating', RATING_FAULTS, log)
        self._settings = settings
        self._table = {
            (each.version, each.request_class): each.score
            for each in settings.qualities
        }
        self._faults = self.stand_in.faults
        self._scheduler = loop.scheduler
        self.stand_in.add_route('POST', '/rate', self._handle_rate)

    def score(self, request: RateAnswer) -> float:
        """Return the score of an answer, from 0 to 1."""
        if BAD_MARKER in request.answer:
            mean = BAD_SCORE
        else:
            mean = self._find_mean(request.version, request.request_class)
        biased = self._faults.current(Biased)
        if biased is not None and biased.version in {'', request.version}:
            mean += biased.shift
        random = Random(f'{request.request_id} {request.version}')
        noisy = mean + random.uniform(-1, 1) * self._settings.noise
        return min(max(noisy, 0), 1)

    def _find_mean(self, version: str, request_class: str) -> float:
        general = self._table.get(
            (version, ANY_CLASS),
            self._settings.default_score,
        )
        return self._table.get((version, request_class), general)

    def _handle_rate(self, request: ApiRequest, responder: Responder) -> None:
        try:
            asked = msgspec.json.decode(request.body, type=RateAnswer)
        except msgspec.DecodeError as error:
            respond_error(responder, 400, 'bad_request', str(error))
            return
        rated = Rated(self.score(asked))
        late = self._faults.consume(Late)
        self._scheduler.call_after(
            late.delay_ms / MS_PER_S if late else 0,
            lambda: respond_json(responder, 200, rated),
        )
