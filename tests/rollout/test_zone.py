"""Test the relay of a zone and the stored record of a roll-out."""

import itertools

import pytest
from hypothesis import given, settings, strategies

from bamboodeck.rollout.decisions import decide
from bamboodeck.rollout.evidence import AnswerOutcome, Reference
from bamboodeck.rollout.record import (
    RolloutRecordError,
    decode_rollout,
    encode_rollout,
)
from bamboodeck.rollout.state import (
    AcceptEvidence,
    GrantShare,
    ReleaseShare,
    ReportEvidence,
    RequestShare,
    RolloutRules,
    StartRollout,
    Tick,
)
from bamboodeck.rollout.zone import (
    RelayTick,
    ZoneRolloutState,
    relay,
    release_zone,
)

GOOD = AnswerOutcome(Reference(0.9, 0.005, 0.05), 0.95)
SETTINGS = settings(derandomize=True, max_examples=100, deadline=None)
WEIGHTS = strategies.floats(0, 50)
NODES = strategies.sampled_from(['n1', 'n2', 'n3'])


def build() -> ZoneRolloutState:
    """Start without a share."""
    return ZoneRolloutState('r1', 'plan@2', 'z1/1')


class TestShares:
    """Relay shares."""

    def test_requests_are_added_up(self) -> None:
        """Request the sum for all nodes, and grant what was received."""
        state, _ = relay(build(), RequestShare('r1', 'n1', 4))
        state, _ = relay(state, RequestShare('r1', 'n2', 3))
        state, effects = relay(state, RelayTick())
        assert effects == (RequestShare('r1', 'z1/1', 7),)
        state, _ = relay(state, GrantShare('r1', 'plan@2', 'z1/1', 5))
        state, effects = relay(state, RelayTick())
        assert GrantShare('r1', 'plan@2', 'n2', 3) in effects
        assert GrantShare('r1', 'plan@2', 'n1', 2) in effects
        assert release_zone(state).kept_weight == 5

    @SETTINGS
    @given(
        strategies.lists(
            strategies.one_of(
                strategies.builds(
                    RequestShare,
                    strategies.just('r1'),
                    NODES,
                    WEIGHTS,
                ),
                strategies.builds(
                    GrantShare,
                    strategies.just('r1'),
                    strategies.just('plan@2'),
                    strategies.sampled_from(['z1/1', 'z1/0']),
                    WEIGHTS,
                ),
                strategies.builds(RelayTick),
            ),
            max_size=30,
        ),
    )
    def test_never_more_than_the_largest_grant(self, messages) -> None:
        """Check the sum of the nodes' grants."""
        state = build()
        largest = 0.0
        for message in messages:
            state, _ = relay(state, message)
            if isinstance(message, GrantShare) and message.holder == 'z1/1':
                largest = max(largest, message.granted_weight)
            assert state.ledger.granted_weight <= largest + 1e-9

    def test_released_share_goes_to_others(self) -> None:
        """Grant to other nodes what one releases."""
        state, _ = relay(build(), RequestShare('r1', 'n1', 4))
        state, _ = relay(state, GrantShare('r1', 'plan@2', 'z1/1', 4))
        state, _ = relay(state, RelayTick())
        state, _ = relay(state, ReleaseShare('r1', 'n1', 1))
        state, _ = relay(state, RequestShare('r1', 'n2', 9))
        state, effects = relay(state, RelayTick())
        assert GrantShare('r1', 'plan@2', 'n2', 3) in effects


class TestEvidence:
    """Relay evidence."""

    @SETTINGS
    @given(strategies.lists(strategies.booleans(), max_size=60))
    def test_each_answer_counts_once(self, lost) -> None:
        """Lose messages in both directions, then deliver all."""
        losses = itertools.chain(lost, itertools.repeat(False))
        start = StartRollout('r1', 'plan@2', RolloutRules(100))
        fleet, _ = decide(None, start, 0)
        zone = build()
        for _ in range(len(lost) + 30):
            zone = self._send_next(zone, losses)
            zone, to_fleet = relay(zone, RelayTick())
            for message in self._arrived(to_fleet, ReportEvidence, losses):
                fleet, _ = decide(fleet, message, 1)
            fleet, effects = decide(fleet, Tick(), 1)
            for message in self._arrived(effects, AcceptEvidence, losses):
                zone, _ = relay(zone, message)
        assert fleet.test.answers == 5

    def _send_next(self, zone: ZoneRolloutState, losses) -> ZoneRolloutState:
        """Send the node's next report, and its last one again."""
        counted = max((mark.sequence for mark in zone.marks), default=0)
        for sequence in (counted, counted + 1):
            if 0 < sequence <= 5 and not next(losses):
                report = ReportEvidence('r1', 'n1', sequence, (GOOD,))
                zone, effects = relay(zone, report)
                assert isinstance(effects[0], AcceptEvidence)
        return zone

    def _arrived(self, messages, wanted: type, losses) -> list:
        found = [each for each in messages if isinstance(each, wanted)]
        return [each for each in found if not next(losses)]


class TestRecord:
    """Encode and decode a roll-out."""

    def test_round_trip(self) -> None:
        """Decode what was encoded."""
        start = StartRollout('r1', 'plan@2', RolloutRules(100))
        state, _ = decide(None, start, 0)
        state, _ = decide(state, RequestShare('r1', 'z1/1', 4), 1)
        state, _ = decide(state, ReportEvidence('r1', 'z1/1', 1, (GOOD,)), 1)
        assert decode_rollout(encode_rollout(state)) == state

    def test_broken_record(self) -> None:
        """Raise an error for an invalid record."""
        with pytest.raises(RolloutRecordError):
            decode_rollout(b'{"rollout_id": 3}')
