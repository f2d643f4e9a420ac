"""Test which requests are admitted and which are refused."""

from bamboodeck.admission.admission import Admission
from bamboodeck.admission.limits import LimitShare, Rates
from bamboodeck.admission.messages import (
    NOT_RUN,
    AdmissionRequest,
    Admitted,
    Refused,
    RefusalCode,
)
from tests.admission.trials import (
    BEST_PER_S,
    DEADLINE_S,
    QueueTrial,
    open_admission,
)


def ask(customer: str = 'school', **changes: float) -> AdmissionRequest:
    """Build a request for admission from default values."""
    usual = {'weight': 1, 'tokens': 10, 'deadline_s': 4, 'expected_s': 1}
    return AdmissionRequest(customer, **(usual | changes))


def build(capacity: float = 10, max_load: float = 1.5) -> Admission:
    """Build an admission with a limit share for one customer."""
    admission = Admission(capacity, max_load)
    share = LimitShare('n1', 'school', Rates(100, 1000))
    admission.set_shares([share], 0)
    return admission


class TestAdmission:
    """Check single decisions."""

    def test_unknown_share(self) -> None:
        """Refuse as not run while no share is known."""
        answer = Admission(10, 1).decide(ask(), 0)
        assert isinstance(answer, Refused)
        assert answer.code is RefusalCode.NO_SHARE
        assert answer.run == NOT_RUN

    def test_request_rate(self) -> None:
        """Refuse requests above the rate, and admit again later."""
        admission = build(capacity=1000)
        admission.set_shares([LimitShare('n1', 'school', Rates(1, 1e6))], 0)
        codes = [_code(admission.decide(ask(), 0)) for _ in range(3)]
        assert codes == [None, None, RefusalCode.REQUEST_RATE]
        assert _code(admission.decide(ask(), 1)) is None

    def test_token_rate(self) -> None:
        """Charge tokens to the limit, and refund unused ones."""
        admission = build(capacity=1000)
        assert _code(admission.decide(ask(tokens=1900), 0)) is None
        code = _code(admission.decide(ask(tokens=200), 0))
        assert code is RefusalCode.TOKEN_RATE
        admission.refund_tokens('school', 1000)
        assert _code(admission.decide(ask(tokens=200), 0)) is None

    def test_full(self) -> None:
        """Refuse at the preset's maximum load until a request ends."""
        admission = build(capacity=2, max_load=1)
        codes = [_code(admission.decide(ask(), 0)) for _ in range(3)]
        assert codes == [None, None, RefusalCode.OVERLOADED]
        admission.finish('school', 1)
        assert _code(admission.decide(ask(), 0)) is None

    def test_deadline(self) -> None:
        """Refuse a request that would wait past its deadline."""
        admission = build(capacity=1, max_load=50)
        admission.decide(ask(), 0)
        admission.finish('school', 1)
        codes = [_code(admission.decide(ask(), 0)) for _ in range(5)]
        assert codes[:4] == [None] * 4  # noqa: WPS435
        assert codes[4] is RefusalCode.DEADLINE

    def test_retry_times_differ(self) -> None:
        """Spread the retry times of refused callers."""
        admission = Admission(10, 1)
        answers = [admission.decide(ask(), 0) for _ in range(20)]
        assert len({answer.retry_after_s for answer in answers}) == 20

    def test_last_share_is_kept(self) -> None:
        """Keep the last share while no new one arrives."""
        assert _code(build().decide(ask(), 1e6)) is None


class TestOverload:
    """Double the load of a queue for a while."""

    def test_goodput_and_recovery(self) -> None:
        """Keep goodput, deadlines and the shares of small customers."""
        for seed in range(3):
            result = QueueTrial(open_admission(), seed).run(0.85, 2)
            assert result.goodput(70, 120) >= 0.95 * BEST_PER_S
            before = result.goodput(20, 60)
            assert result.recovery_s(0.95 * before) <= 10
            assert result.p95_latency_s() <= DEADLINE_S
            # Customers b and c send two tenths of the load, less than their
            # fair shares.
            small = result.good_by_customer
            assert small['b'] + small['c'] >= 0.85 * 0.2 * 2 * BEST_PER_S * 60

    def test_queue_without_admission_stays_down(self) -> None:
        """Check that the simulation can fail: goodput doesn't recover."""
        result = QueueTrial(None, 0).run(0.85, 2)
        assert result.goodput(150, 200) < 0.1 * BEST_PER_S


def _code(answer: Admitted | Refused) -> RefusalCode | None:
    return answer.code if isinstance(answer, Refused) else None
