"""Test the calls to the rating service."""

from bamboodeck.chat.context import AnswerToRate, NotScored, Scored
from bamboodeck.entry.ratings import RatingClient
from bamboodeck.external.rating import Rated, RatingUnavailable

ANSWER = AnswerToRate('r1', 'small@1', 'medena-desk', 'chat', 'text')


class Service:
    """Reply with `reply`, half a second later on its own clock."""

    def __init__(self) -> None:
        """Start at time 0 with a good rating."""
        self.now_s = 0.0
        self.reply = Rated(0.8)

    def rate(self, request, on_reply) -> None:
        """Advance the clock by half a second and reply."""
        self.now_s += 0.5
        on_reply(self.reply)


class TestRatingClient:
    """Report scores and the delay of ratings."""

    def test_delay_is_reported_with_each_score(self) -> None:
        """Report the score and the measured delay."""
        service = Service()
        delays: list = []
        scores: list = []
        caller = RatingClient(service, lambda: service.now_s, delays.append)
        caller.rate(ANSWER, scores.append)
        assert scores == [Scored(0.8)]
        assert delays == [0.5]

    def test_outage_stops_cascades_until_a_rating_succeeds(self) -> None:
        """Report None after three failures and a delay after a success."""
        service = Service()
        delays: list = []
        scores: list = []
        caller = RatingClient(service, lambda: service.now_s, delays.append)
        service.reply = RatingUnavailable('refused', late=False)
        for _ in range(4):
            caller.rate(ANSWER, scores.append)
        assert set(scores) == {NotScored(late=False)}
        assert len(scores) == 4
        assert delays == [None]
        service.reply = Rated(0.9)
        caller.rate(ANSWER, scores.append)
        assert delays == [None, 0.5]

    def test_no_service(self) -> None:
        """Report None at once if there is no rating service."""
        delays: list = []
        scores: list = []
        clock = Service()
        caller = RatingClient(None, lambda: clock.now_s, delays.append)
        caller.rate(ANSWER, scores.append)
        assert (delays, scores) == ([None], [NotScored(late=False)])
