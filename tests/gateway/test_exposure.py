"""Test how many requests a bad version gets before it is rolled back."""

import pytest

from bamboodeck.gateway.model import RolloutOrder, RolloutState
from bamboodeck.gateway.ports import RolloutOrdered
from bamboodeck.gateway.rollout_state import TrialAnswer
from tests.gateway.virtual_rollout import (
    NEW,
    SERVICE,
    Behaviour,
    Deployment,
    Failing,
    FailingUnderLoad,
    FaultyEngine,
    Good,
    RolloutPlay,
    RouteLoad,
    play_rollout,
)

ROUTES = (
    RouteLoad('payment', 11.5, 45.0, failure_rate=0.015),
    RouteLoad('lookup', 4.6, 45.0, failure_rate=0.15, retryable=True),
    RouteLoad('check', 4.5, 2.0),
    # Its time limit is shorter than the work.
    RouteLoad('hopeless', 1.5, 45.0, failure_rate=1.0),
)
ORDERS = Deployment(ROUTES)
BUSY_ORDERS = Deployment(ROUTES, burst=2.0)
MODELS = Deployment(
    (
        RouteLoad('chat', 27.0, 700.0, sessions=True),
        RouteLoad('brief', 27.0, 300.0, sessions=True),
        RouteLoad('digest', 14.0, 3000.0, sessions=True),
    ),
    engines=6,
    slots=64,
)
MANY_HOSTS = Deployment(ROUTES, hosts=12)
BUSY_DEPLOYMENTS = [
    pytest.param(ORDERS, id='orders'),
    pytest.param(BUSY_ORDERS, id='busy-orders'),
    pytest.param(MODELS, id='models'),
]
QUIET = pytest.param(
    Deployment((RouteLoad('rare', 0.5, 120.0),)),
    id='quiet',
)


def check_bad(deployment: Deployment, behaviour: Behaviour, seed: int) -> None:
    """Check that a bad version is rolled back within its exposure."""
    play = play_rollout(deployment, behaviour, seed)
    assert play.arrivals[NEW] <= play.allowed
    assert play.store.state is RolloutState.ROLLED_BACK


@pytest.mark.parametrize('seed', range(6))
class TestBadVersion:
    """Bound the requests that reach a bad version."""

    def test_untried_version_gets_everything(self, seed: int) -> None:
        """Try a version at the load that it will have."""
        check_bad(ORDERS, FailingUnderLoad(0.5), seed)

    def test_untried_version_gets_a_burst(self, seed: int) -> None:
        """Try it while there are twice as many requests as before."""
        check_bad(BUSY_ORDERS, FailingUnderLoad(0.5), seed)

    def test_failing_route_drowns_in_others(self, seed: int) -> None:
        """Find the fault of one route, where others always fail."""
        check_bad(ORDERS, Failing(0.5, 'lookup'), seed)

    def test_rare_failures_go_on(self, seed: int) -> None:
        """Find a version that fails one request in five."""
        check_bad(ORDERS, Failing(0.2), seed)

    @pytest.mark.parametrize('share', [0.3, 0.5, 1.0])
    @pytest.mark.parametrize('deployment', BUSY_DEPLOYMENTS)
    def test_failing(
        self,
        deployment: Deployment,
        share: float,
        seed: int,
    ) -> None:
        """Roll back a version that fails everywhere."""
        check_bad(deployment, Failing(share), seed)

    @pytest.mark.parametrize('after_s', [3.0, 6.0, 9.0, 12.0])
    def test_failing_late(self, after_s: float, seed: int) -> None:
        """Roll back a version that fails only after some seconds."""
        check_bad(ORDERS, Failing(0.5, after_s=after_s), seed)


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('deployment', [*BUSY_DEPLOYMENTS, QUIET])
class TestGoodVersion:
    """Complete the roll-out of a good version in time."""

    def test_good(self, deployment: Deployment, seed: int) -> None:
        """Complete it although some requests fail on every version."""
        play = play_rollout(deployment, Good(), seed)
        check_completed(play)

    def test_one_faulty_engine(self, deployment: Deployment, seed: int) -> None:
        """Don't attribute the failures of one engine to the version."""
        play = play_rollout(deployment, FaultyEngine(0.4), seed)
        check_completed(play)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('sessions', [False, True])
@pytest.mark.parametrize('per_s', [1.0, 4.0, 10.0, 16.0, 30.0])
class TestSmallService:
    """Roll out a version of a service with few requests."""

    def test_good_version_undecided(
        self,
        per_s: float,
        sessions: bool,
        seed: int,
    ) -> None:
        """Learn enough of it, or show that it can do no harm."""
        service = build_small_service(per_s, sessions=sessions)
        check_completed(play_rollout(service, Good(), seed))

    @pytest.mark.parametrize('share', [0.3, 1.0])
    def test_bad(
        self,
        per_s: float,
        sessions: bool,
        share: float,
        seed: int,
    ) -> None:
        """Keep the bound, also where too little is known for a verdict."""
        service = build_small_service(per_s, sessions=sessions)
        play = play_rollout(service, Failing(share), seed)
        assert play.arrivals[NEW] <= play.allowed


def build_small_service(per_s: float, *, sessions: bool) -> Deployment:
    """Build a service with two routes."""
    return Deployment(
        (
            RouteLoad('order', 0.7 * per_s, 45.0, sessions=sessions),
            RouteLoad('check', 0.3 * per_s, 2.0, sessions=sessions),
        ),
    )


def check_completed(play: RolloutPlay) -> None:
    """Check that the roll-out was completed, and kept sessions."""
    assert play.store.state is RolloutState.COMPLETED
    # More than three sessions on another version break the promise.
    assert play.moved_early <= 3
    assert play.moved_back <= 3


class TestUnheardHost:
    """Have no host go on by its own answers alone."""

    @pytest.mark.parametrize('seed', range(4))
    def test_unheard_host_takes_service_for_quiet(self, seed: int) -> None:
        """Count what other hosts may have, where they aren't heard."""
        play = RolloutPlay(ORDERS, FailingUnderLoad(0.5), seed)
        host = play.hosts[0]
        play.unheard = host.name
        host.rollouts.heard_hosts = 1
        play.run()
        assert play.arrivals[NEW] <= play.allowed
        assert play.store.state is RolloutState.ROLLED_BACK


class TestDisagreement:
    """Roll a version back on the verdict of few hosts."""

    @pytest.mark.parametrize('seed', range(6))
    def test_bad_verdict_waits_for_other_hosts(self, seed: int) -> None:
        """Have a host write it soon, however many hosts write before it."""
        play = RolloutPlay(MANY_HOSTS, Good(), seed)
        for host in play.hosts:
            host.rollouts.apply(RolloutOrdered(_order(SERVICE), 10))
        play.clock.run(2.0)
        last = play.hosts[-1].rollouts
        last._rollouts[SERVICE].bad = True
        play.clock.run(1.0)
        assert play.store.state is RolloutState.ROLLED_BACK


class TestTwoOrders:
    """Judge two services at the same time."""

    def test_order_forgets_evidence_of_others(self) -> None:
        """Keep what is known of a service when another gets an order."""
        play = RolloutPlay(ORDERS, Failing(0.5), 1)
        host = play.hosts[0]
        host.rollouts.apply(RolloutOrdered(_order(SERVICE), 10))
        engine = next(iter(host.context.engines))
        for _ in range(20):
            host.rollouts.record_answer(
                TrialAnswer(engine, 'payment', 0, 1.0, False),
            )
        host.rollouts.apply(RolloutOrdered(_order('other'), 11))
        report = host.rollouts.build_evidence_report()
        assert sum(counts.answers for counts in report.baseline) == 20


def _order(service: str) -> RolloutOrder:
    return RolloutOrder(service, NEW, 18.0)
