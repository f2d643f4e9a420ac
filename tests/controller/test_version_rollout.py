"""Test that a roll-out is recorded before its effects are executed."""

import random
from dataclasses import replace

import msgspec
import pytest

from bamboodeck.configuration.model import VersionState
from bamboodeck.configuration.outcomes import Written
from bamboodeck.controller.version_rollout import (
    PREFIX,
    VersionRolloutPorts,
    VersionRollout,
    StoredRollout,
)
from bamboodeck.keyvalue.port import CompareAndSwap
from bamboodeck.peers.messages import ShareGranted
from bamboodeck.rollout.evidence import AnswerOutcome, Reference
from bamboodeck.rollout.state import (
    HaltRollout,
    Phase,
    ReportEvidence,
    RequestShare,
)
from tests.controller.virtual_loop import VirtualScheduler
from tests.routing.sample import configuration, model
from tests.virtual_store import Fault, VirtualClock, VirtualStore

NEW = 'small@2'
ZONE = 'host1.controller#7'
BAD = AnswerOutcome(Reference(0.9, 0.005, 0.05), 0.1)


class RecordingMessenger:
    """Record the messages sent."""

    own = 'host0.controller'

    def __init__(self) -> None:
        """Start without messages."""
        self.sent: list = []

    def send(self, node: str, message) -> None:
        """Record a message."""
        self.sent.append(message)

    def granted_weights(self) -> list[float]:
        """Return the weights of the granted shares."""
        return [
            each.granted_weight
            for each in self.sent
            if isinstance(each, ShareGranted)
        ]


class Run:
    """Run a roll-out with a virtual store and record its changes."""

    def __init__(self) -> None:
        """Start with a version in roll-out and no record."""
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock, random.Random(1))
        self.messenger = RecordingMessenger()
        self.changes: list[str] = []
        self.fails_changes = False
        new = replace(
            model(NEW, 0.8, 1),
            state=VersionState.ROLLOUT,
            rollout_max_exposed_weight=200,
        )
        self.configuration = configuration(models=(new,))
        self.start()

    def start(self) -> None:
        """Start the term of a lease holder."""
        ports = VersionRolloutPorts(
            self.store,
            VirtualScheduler(self.clock),
            self.messenger,
            self.clock.read_s,
            self.write_change,
            lambda event: None,
            'host0.controller#1',
        )
        self.rollout = VersionRollout(NEW, ports)
        self.clock.run(1)

    def write_change(self, change, change_id: str, on_written) -> None:
        """Record the id of a change; confirm it unless changes fail."""
        self.changes.append(change_id)
        if not self.fails_changes:
            on_written(Written(9))

    def tick(self, times: int = 1) -> None:
        """Advance time by a number of ticks."""
        for _ in range(times):
            self.rollout.tick(self.configuration)
            self.clock.run(0.5)

    def read_record(self) -> StoredRollout:
        """Return the stored record."""
        body = self.store.entries[f'{PREFIX}{NEW}'].body
        return msgspec.json.decode(body, type=StoredRollout)

    def set_state(self, state: VersionState, revision: int) -> None:
        """Put a configuration with another version state in force."""
        known = self.configuration.models[0]
        self.configuration = replace(
            self.configuration,
            revision=revision,
            models=(replace(known, state=state),),
        )


@pytest.fixture
def run() -> Run:
    """Start a roll-out."""
    built = Run()
    built.tick()
    return built


class TestVersionRollout:
    """Record before acting; resume from the record."""

    def test_share_is_recorded_before_it_is_granted(self, run: Run) -> None:
        """Grant nothing while the record is not written."""
        rollout_id = run.rollout.state.rollout_id
        run.store.fail_next(CompareAndSwap, Fault.REFUSED, times=1)
        run.rollout.handle(RequestShare(rollout_id, ZONE, 5))
        run.tick()
        assert not run.messenger.granted_weights()
        run.rollout.handle(RequestShare(rollout_id, ZONE, 5))
        run.tick()
        assert run.read_record().state.ledger.share_of(ZONE) == 5
        assert set(run.messenger.granted_weights()) == {5}

    def test_successor_counts_what_was_granted(self, run: Run) -> None:
        """Continue the same roll-out, with granted shares still counted."""
        rollout_id = run.rollout.state.rollout_id
        run.rollout.handle(RequestShare(rollout_id, ZONE, 10))
        run.tick()
        run.rollout.close()
        run.start()
        run.tick()
        assert run.rollout.state.rollout_id == rollout_id
        run.rollout.handle(RequestShare(rollout_id, 'host2.controller#8', 5))
        run.tick()
        assert run.rollout.state.ledger.granted_weight == 10

    def test_halt_is_retried_under_one_id(self, run) -> None:
        """Retry the withdrawal under a new holder with the same change id."""
        run.fails_changes = True
        report = ReportEvidence(
            run.rollout.state.rollout_id,
            ZONE,
            1,
            (BAD,) * 40,
        )
        run.rollout.handle(report)
        run.tick(2)
        assert run.read_record().state.phase is Phase.HALTED
        run.rollout.close()
        run.fails_changes = False
        run.start()
        run.tick()
        assert len(run.changes) > 1
        assert len(set(run.changes)) == 1
        assert run.read_record().state.confirmed

    def test_restart_with_newer_revision(self, run) -> None:
        """Treat a roll-out that operators start again as a new one."""
        first_id = run.rollout.state.rollout_id
        run.rollout.handle(HaltRollout(first_id, 'test'))
        run.tick(2)
        assert run.rollout.state.rollout_id == first_id
        run.set_state(VersionState.ROLLOUT, 12)
        run.tick()
        assert run.rollout.state.rollout_id != first_id
        assert run.rollout.state.phase is Phase.RUNNING

    def test_operator_finishes_rollout(self, run: Run) -> None:
        """End by the operator's change without a change of its own."""
        run.set_state(VersionState.STEADY, 12)
        run.tick(2)
        assert run.read_record().state.phase is Phase.PROMOTED
        assert run.read_record().ended_revision == 12
        assert not run.changes
