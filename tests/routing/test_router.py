"""Test the decisions of the router."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.configuration.model import VersionState
from bamboodeck.routing.messages import (
    CacheEvent,
    EngineLoad,
    RefusalCode,
    RouteChosen,
    RouteRefused,
)
from tests.routing.sample import (
    LARGE,
    PRESET,
    SMALL,
    configuration,
    customer,
    engine,
    route_request,
    rate,
    router,
    with_small,
)

ALLOWED = st.sets(st.sampled_from((SMALL, LARGE)))
STATES = st.sampled_from(tuple(VersionState))


class OpenGate:
    """Admit all requests and record their weights."""

    def __init__(self) -> None:
        """Start without weights."""
        self.weights: list[float] = []

    def admit(self, version: str, weight: float, now_s: float) -> bool:
        """Record the weight and return true."""
        self.weights.append(weight)
        return True


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    ALLOWED,
    STATES,
    st.sampled_from((None, 'auto', 'small', SMALL, LARGE, 'none@1')),
    st.sampled_from((None, SMALL, LARGE)),
    st.booleans(),
    st.booleans(),
)
def check_version_rules(
    allowed: set[str],
    state: VersionState,
    requested: str | None,
    session: str | None,
    moves: bool,
    fresh: bool,
) -> None:
    """Never use a version that is not allowed, withdrawn or stale.

    A session also stays on its version unless the customer lets it move.
    """
    built = router(with_small(state))
    built.set_rollout_admission(OpenGate())
    built.set_fresh(fresh)
    asked = route_request(
        customer=customer(
            allowed_versions=tuple(sorted(allowed)),
            move_sessions=moves,
        ),
        requested_model=requested,
        session_version=session,
    )
    decision = built.decide(asked, 0)
    if isinstance(decision, RouteRefused):
        return
    assert decision.version in allowed
    if decision.version == SMALL:
        assert state is not VersionState.WITHDRAWN
        assert fresh or state is VersionState.STEADY
    if session is not None and not moves:
        assert decision.version == session


class TestVersions:
    """Check which version runs a request."""

    def test_quality_target_by_lower_bound(self) -> None:
        """Use the cheap version once its lower bound meets the target."""
        built = router(configuration())
        assert built.decide(route_request(), 0).version == LARGE
        rate(built, SMALL, 0.95, 5)
        assert built.decide(route_request(), 0).version == LARGE
        rate(built, SMALL, 0.95, 60)
        assert built.decide(route_request(), 0).version == SMALL

    def test_best_lower_bound(self) -> None:
        """Use the best lower bound if no version's bound meets the target."""
        asked = route_request(customer=customer(quality_target=0.999))
        chosen = router(configuration()).decide(asked, 0)
        assert chosen.version == LARGE
        assert chosen.reason == 'best_lower_bound'

    def test_withdrawn(self) -> None:
        """Refuse a withdrawn version, also for its sessions."""
        built = router(
            with_small(VersionState.WITHDRAWN, withdrawn_since_revision=12),
        )
        message = 'version "small@1" is withdrawn since revision 12'
        for asked in (
            route_request(requested_model=SMALL),
            route_request(session_version=SMALL),
        ):
            refused = built.decide(asked, 0)
            assert refused.code is RefusalCode.VERSION_WITHDRAWN
            assert refused.message == message

    def test_session_moves_by_consent(self) -> None:
        """Move a session off a withdrawn version if the customer allows it."""
        built = router(with_small(VersionState.WITHDRAWN))
        asked = route_request(
            session_version=SMALL,
            customer=customer(move_sessions=True),
        )
        assert built.decide(asked, 0).version == LARGE

    def test_session_stays(self) -> None:
        """Keep a session on its version without a cascade."""
        preset = replace(PRESET, cascade=True)
        built = router(configuration(presets=(preset,)))
        chosen = built.decide(route_request(session_version=SMALL), 0)
        assert chosen.version == SMALL
        assert chosen.reason == 'session'
        assert not chosen.cascade

    def test_blocked(self) -> None:
        """Stop using a blocked version at once, also for its sessions."""
        built = router(configuration())
        built.block_version(LARGE, 'errors')
        assert built.decide(route_request(), 0).version == SMALL
        refused = built.decide(route_request(session_version=LARGE), 0)
        assert refused.message == 'version "large@1" is blocked: errors'

    def test_stale_configuration(self) -> None:
        """Route nothing to a roll-out while the configuration is stale."""
        built = router(with_small(VersionState.ROLLOUT))
        built.set_rollout_admission(OpenGate())
        asked = route_request(requested_model=SMALL)
        assert built.decide(asked, 0).version == SMALL
        built.set_fresh(False)
        assert built.decide(asked, 0).code is RefusalCode.VERSION_IN_ROLLOUT

    def test_rollout_by_gate(self) -> None:
        """Route a baseline's requests to its roll-out if the gate admits them.

        The gate gets the product of class and customer weights.
        """
        built = router(
            with_small(VersionState.ROLLOUT, rollout_baseline=LARGE),
        )
        assert built.decide(route_request(), 0).version == LARGE
        gate = OpenGate()
        built.set_rollout_admission(gate)
        assert built.decide(route_request(), 0).version == SMALL
        assert gate.weights == [6.0]

    def test_rollout_is_all_that_is_allowed(self) -> None:
        """Ask the gate even if a customer may use no other version."""
        built = router(with_small(VersionState.ROLLOUT))
        asked = route_request(customer=customer(allowed_versions=(SMALL,)))
        refused = built.decide(asked, 0)
        assert refused.code is RefusalCode.VERSION_IN_ROLLOUT
        built.set_rollout_admission(OpenGate())
        assert built.decide(asked, 0).version == SMALL
        for name in ('e1', 'e2'):
            built.on_engine_lost(name, 0)
        assert built.decide(route_request(), 1).code is RefusalCode.NO_ENGINE

    def test_bare_model_name(self) -> None:
        """Choose among the versions of one model."""
        asked = route_request(requested_model='small')
        assert router(configuration()).decide(asked, 0).version == SMALL

    def test_cascade(self) -> None:
        """Use a cascade if it is cheaper, in time and ratings are available."""
        preset = replace(PRESET, cascade=True)
        built = router(configuration(presets=(preset,)))
        chosen = built.decide(route_request(), 0)
        assert (chosen.version, chosen.cascade) == (SMALL, (LARGE,))
        assert not built.decide(route_request(deadline_s=6), 0).cascade
        built.set_rating_delay(None)
        assert not built.decide(route_request(), 0).cascade

    def test_version_rules(self) -> None:
        """Check the rules for any request and version state."""
        check_version_rules()


class TestEngines:
    """Check which engine runs a request."""

    def test_own_dispatches(self) -> None:
        """Count dispatches made after the last load report was measured."""
        built = router(configuration())
        built.on_load_report(EngineLoad('e2', 2, 0, 1))
        for index in range(3):
            built.on_dispatched('e1', f'r{index}', 2)
        built.on_load_report(EngineLoad('e1', 0, 0, 1.5))
        assert built.decide(route_request(), 3).engine == 'e2'
        for index in range(3):
            built.on_finished('e1', f'r{index}', 4, ok=True)
        assert built.decide(route_request(), 5).engine == 'e1'

    @pytest.mark.parametrize('event', ['lost', 'leaving', 'draining'])
    def test_unusable(self, event: str) -> None:
        """Send no requests to an engine that is lost, leaving or draining."""
        built = router(configuration())
        if event == 'lost':
            built.on_engine_lost('e1', 0)
        if event == 'leaving':
            built.on_engine_leaving('e1')
        if event == 'draining':
            built.apply_configuration(configuration(draining=('e1',)))
        engines = {built.decide(route_request(), 1).engine for _ in range(20)}
        assert engines == {'e2'}

    def test_lost_until_report(self) -> None:
        """Use a lost engine again after a report measured after the loss."""
        built = router(configuration(engines=(engine('e1'),)))
        built.on_engine_lost('e1', 5)
        built.on_load_report(EngineLoad('e1', 0, 0, 4))
        assert built.decide(route_request(), 6).code is RefusalCode.NO_ENGINE
        built.on_load_report(EngineLoad('e1', 0, 0, 6))
        assert built.decide(route_request(), 7).engine == 'e1'

    def test_excluded(self) -> None:
        """Skip the engines that a retry excludes."""
        asked = route_request(excluded_engines=frozenset(('e1',)))
        assert router(configuration()).decide(asked, 0).engine == 'e2'

    def test_other_region(self) -> None:
        """Use another region if no engine of this one is usable."""
        far = engine('far', 'p1', 'primorska')
        built = router(configuration(engines=(engine('e1'), far)))
        assert built.decide(route_request(), 0).engine == 'e1'
        built.on_engine_leaving('e1')
        assert built.decide(route_request(), 0).engine == 'far'

    def test_full(self) -> None:
        """Refuse when every engine is full."""
        built = router(configuration())
        for name in ('e1', 'e2'):
            built.on_load_report(EngineLoad(name, 4, 4, 1))
        refused = built.decide(route_request(), 1)
        assert refused.code is RefusalCode.NO_ENGINE
        assert refused.retry_after_s > 0

    def test_past_deadline(self) -> None:
        """Refuse a request that can't be answered before its deadline."""
        refused = router(configuration()).decide(route_request(deadline_s=2), 0)
        assert refused.code is RefusalCode.OVERLOADED

    def test_prefix(self) -> None:
        """Prefer the engine that caches the prefix, also after a gap.

        After an eviction event, choose among all engines again.
        """
        preset = replace(PRESET, delay_credits_per_s=1.0)
        engines = tuple(engine(f'e{index}') for index in range(9))
        built = router(configuration(presets=(preset,), engines=engines))
        built.on_cache_event(CacheEvent('e5', 1, 7, stored=True), 0)
        assert built.decide(route_request(), 1).engine == 'e5'
        built.on_cache_event(CacheEvent('e5', 9, 8, stored=True), 2)
        assert built.decide(route_request(), 3).engine == 'e5'
        built.on_cache_event(CacheEvent('e5', 10, 7, stored=False), 4)
        engines_used = {
            built.decide(route_request(prefix_hash=index), 5).engine
            for index in range(100, 140)
        }
        assert len(engines_used) > 1

    def test_spread_over_engines(self) -> None:
        """Spread the choices of nodes that see the same loads.

        Nodes that all pick the least loaded engine would overload it.
        """
        engines = tuple(engine(f'e{index}') for index in range(20))
        rng = random.Random(5)
        counts: dict[str, int] = {}
        for seed in range(40):
            built = router(configuration(engines=engines), seed)
            for index in range(20):
                report = EngineLoad(f'e{index}', int(index > 0), 0, 1)
                built.on_load_report(report)
            asked = route_request(prefix_hash=rng.getrandbits(32))
            chosen = built.decide(asked, 1)
            assert isinstance(chosen, RouteChosen)
            counts[chosen.engine] = counts.get(chosen.engine, 0) + 1
        assert max(counts.values()) < 14
