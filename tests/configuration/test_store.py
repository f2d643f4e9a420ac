"""Test writer and replicas against a simple model under faults."""

from dataclasses import replace
from functools import partial

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bamboodeck.configuration.changes import (
    ConfigurationChange,
    DrainEngine,
    ReplaceDocument,
    SetPreset,
    SetVersionState,
    UndrainEngine,
    WithdrawVersion,
)
from bamboodeck.configuration.model import VersionState
from bamboodeck.configuration.outcomes import (
    ConfigurationUnknownError,
    Failed,
    WriteOutcome,
    WriteRequest,
    Written,
)
from bamboodeck.configuration.records import (
    CURRENT_KEY,
    StoredConfiguration,
    decode_record,
    encode_record,
    history_key,
    read_configuration,
)
from bamboodeck.configuration.replica import Accepted, ConfigurationReplica
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.invariants import Invariants
from bamboodeck.keyvalue.port import Entry

from .examples import EXAMPLE_TEXT, example_configuration
from .naive_configuration import NaiveConfiguration
from .naive_store import Fate, NaiveStore

VERSIONS = ('small@1', 'medium@1', 'large@1')
ENGINES = ('flanders-1', 'brussels-2')
CHANGES = st.one_of(
    st.builds(SetPreset, st.sampled_from(('ordinary', 'peak', 'no-such'))),
    st.builds(WithdrawVersion, st.sampled_from(VERSIONS)),
    st.builds(
        SetVersionState,
        st.sampled_from(VERSIONS),
        st.just(VersionState.STEADY),
        revive=st.booleans(),
    ),
    st.builds(DrainEngine, st.sampled_from(ENGINES)),
    st.builds(UndrainEngine, st.sampled_from(ENGINES)),
    st.just(ReplaceDocument(EXAMPLE_TEXT)),
)
REPLICAS = st.integers(0, 2)
INDEX = st.integers(0, 9)


def new_replica(now_s: float) -> ConfigurationReplica:
    """Build a node's replica whose invariants raise."""
    return ConfigurationReplica(Invariants(None, raising=True), now_s)


def is_unknown(outcome: WriteOutcome) -> bool:
    """Return whether an outcome is reported as unknown."""
    return isinstance(outcome, Failed) and isinstance(
        outcome.error,
        ConfigurationUnknownError,
    )


class ConfigurationMachine(RuleBasedStateMachine):
    """Combine concurrent changes, a faulty store and stale peers."""

    def __init__(self) -> None:
        """Start three nodes with the example in the store."""
        super().__init__()
        self.store = NaiveStore()
        self.delayed = []
        self.writer = ConfigurationWriter(
            self.store,
            lambda delay_s, callback: self.delayed.append(callback),
        )
        self.requests: dict[str, WriteRequest] = {}
        self.outcomes: dict[str, list[WriteOutcome]] = {}
        self.now_s = 0.0
        self.log_times_s: dict[int, float] = {}
        self.replicas = [new_replica(0) for _ in range(3)]
        self.highest = [0, 0, 0]
        self.request_change(ReplaceDocument(EXAMPLE_TEXT), pinned=True)
        self.store.answer_all()

    @rule(change=CHANGES, pinned=st.booleans())
    def request_change(
        self, change: ConfigurationChange, *, pinned: bool
    ) -> None:
        """Request a change as an operator."""
        change_id = f'change-{len(self.requests)}'
        pinned = pinned or isinstance(change, ReplaceDocument)
        seen = self.store.log[-1].revision if self.store.log else 0
        request = WriteRequest(
            change,
            change_id,
            'ada',
            self.now_s,
            seen if pinned else None,
        )
        self.requests[change_id] = request
        self.submit(request)

    @rule(change=CHANGES)
    def request_change_undisturbed(self, change: ConfigurationChange) -> None:
        """Request a change while the store answers all requests."""
        self.request_change(change, pinned=False)
        self.store.answer_all()

    @precondition(lambda machine: machine.requests)
    @rule(index=INDEX)
    def repeat_request(self, index: int) -> None:
        """Repeat an earlier request with the same change id."""
        requests = list(self.requests.values())
        self.submit(requests[index % len(requests)])

    @precondition(lambda machine: machine.store.pending)
    @rule(index=INDEX, fate=st.sampled_from(Fate))
    def decide(self, index: int, fate: Fate) -> None:
        """Answer one store request according to its fate."""
        self.store.step(index, fate)

    @precondition(lambda machine: machine.delayed)
    @rule()
    def run_delayed(self) -> None:
        """Run the oldest scheduled retry."""
        self.delayed.pop(0)()

    @precondition(lambda machine: machine.store.late)
    @rule()
    def run_late(self) -> None:
        """Apply a request long after its answer was lost."""
        self.store.run_late()

    @rule(elapsed_s=st.sampled_from((0.5, 15.0, 29.0, 31.0)))
    def wait(self, elapsed_s: float) -> None:
        """Advance the clock."""
        self.now_s += elapsed_s

    @rule(replica=REPLICAS, back=INDEX)
    def news(self, replica: int, back: int) -> None:
        """Offer a node a current or past value of the store."""
        entry = self.store.log[-1 - back % len(self.store.log)]
        self.offer(replica, entry.revision, entry.body, 'service')

    @rule(replica=REPLICAS, peer=REPLICAS)
    def peer_news(self, replica: int, peer: int) -> None:
        """Offer a node its peer's configuration and freshness."""
        source = self.replicas[peer]
        self.offer(replica, source.revision, source.body, 'peer')
        age_s = source.age_s(self.now_s)
        self.replicas[replica].confirm_revision(
            source.revision, self.now_s, age_s
        )

    @rule(replica=REPLICAS)
    def deliver_confirmation(self, replica: int) -> None:
        """Confirm the store's current revision to a node."""
        newest = self.store.log[-1].revision
        self.replicas[replica].confirm_revision(newest, self.now_s)

    @rule(replica=REPLICAS)
    def restart(self, replica: int) -> None:
        """Restart a node without its state."""
        self.replicas[replica] = new_replica(self.now_s)
        self.highest[replica] = 0

    @invariant()
    def revisions_never_fall(self) -> None:
        """Check that nodes never go back and only have stored bodies."""
        bodies = {entry.revision: entry.body for entry in self.store.log}
        for index, replica in enumerate(self.replicas):
            assert replica.revision >= self.highest[index]
            self.highest[index] = replica.revision
            if replica.configuration:
                assert replica.body == bodies[replica.revision]

    @invariant()
    def fresh_means_recent(self) -> None:
        """Check that a fresh node has all changes older than the limit."""
        for entry in self.store.log:
            self.log_times_s.setdefault(entry.revision, self.now_s)
        for replica in self.replicas:
            if replica.is_stale(self.now_s):
                continue
            horizon_s = self.now_s - replica.configuration.stale_after_s
            assert not any(
                replica.revision < revision and changed_s < horizon_s
                for revision, changed_s in self.log_times_s.items()
            )

    def teardown(self) -> None:
        """Complete all requests, then compare the outcomes with the log."""
        while self.store.pending or self.delayed or self.store.late:
            self.store.answer_all()
            while self.delayed:
                self.run_delayed()
            while self.store.late:
                self.store.run_late()
        assert all(self.outcomes.values())
        self.check_outcomes()
        self.check_log()
        super().teardown()

    def check_outcomes(self) -> None:
        """Check that the log has each change as its outcome reports."""
        records = [decode_record(entry.body) for entry in self.store.log]
        ids = [record.change_id for record in records]
        for change_id, outcomes in self.outcomes.items():
            assert ids.count(change_id) <= 1
            written = [
                outcome.revision
                for outcome in outcomes
                if isinstance(outcome, Written)
            ]
            if written:
                entry = self.store.log[ids.index(change_id)]
                assert set(written) == {entry.revision}
            elif not any(map(is_unknown, outcomes)):
                assert change_id not in ids

    def check_log(self) -> None:
        """Replay the log with the simple model."""
        naive = NaiveConfiguration()
        example = example_configuration()
        past: list[Entry] = []
        for entry in self.store.log:
            record = decode_record(entry.body)
            request = self.requests[record.change_id]
            before = past[-1].revision if past else 0
            assert request.expected_revision in {None, before}
            naive.apply(request.change, entry.revision, example)
            naive.compare(read_configuration(entry.revision, entry.body))
            notes = [note.revision for note in record.past]
            assert notes == [each.revision for each in reversed(past)]
            for each in past:
                kept = self.store.entries[history_key(each.revision)]
                assert kept.body == each.body
            past.append(entry)

    def submit(self, request: WriteRequest) -> None:
        """Pass a request to the writer and record its outcome."""
        outcomes = self.outcomes.setdefault(request.change_id, [])
        self.writer.write(request, outcomes.append)

    def offer(self, replica: int, revision: int, body: bytes, by: str) -> None:
        """Offer a body; check that only a higher revision is accepted."""
        before = self.replicas[replica].revision
        outcome = self.replicas[replica].offer(revision, body, by)
        assert isinstance(outcome, Accepted) == (revision > before)


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
)


class TestConfigurationWriter:
    """Test single failures and conflicts."""

    def test_late_swap_after_its_answer_was_lost(self) -> None:
        """Report an unknown outcome while a lost swap may still apply."""
        store = NaiveStore()
        delayed = []
        writer = ConfigurationWriter(
            store, lambda _, step: delayed.append(step)
        )
        outcomes: list[WriteOutcome] = []
        request = WriteRequest(ReplaceDocument(EXAMPLE_TEXT), 'a', 'ada', 0, 0)
        writer.write(request, outcomes.append)
        store.step(0, Fate.ANSWERED)
        store.step(0, Fate.LATE)
        while not outcomes:
            delayed.pop()()
            store.step(0, Fate.REFUSED)
        assert isinstance(outcomes[0].error, ConfigurationUnknownError)
        store.run_late()
        assert len(store.log) == 1
        writer.write(request, outcomes.append)
        store.answer_all()
        assert outcomes[1] == Written(1)

    def test_racing_operators_see_both(self) -> None:
        """Refuse the later change with a conflict that names both."""
        store = NaiveStore()
        writer = ConfigurationWriter(store, lambda _, step: step())
        outcomes: list[WriteOutcome] = []
        first = WriteRequest(ReplaceDocument(EXAMPLE_TEXT), 'a', 'ada', 0, 0)
        for request in (
            first,
            replace(first, change_id='b', changed_by='otto'),
        ):
            writer.write(request, outcomes.append)
        store.answer_all()
        assert str(outcomes[1].error) == (
            '"apply change" expected revision 0, but revision 1 by ada '
            '(apply change) is in force'
        )

    def test_racing_presets(self) -> None:
        """Refuse to replace a preset that the operator hasn't seen."""
        store = NaiveStore()
        writer = ConfigurationWriter(store, lambda _, step: step())
        outcomes: dict[str, WriteOutcome] = {}

        def write(change_id: str, change: ConfigurationChange) -> None:
            request = WriteRequest(change, change_id, 'ada', 0)
            writer.write(request, partial(outcomes.__setitem__, change_id))

        first = WriteRequest(ReplaceDocument(EXAMPLE_TEXT), 'a', 'ada', 0, 0)
        writer.write(first, partial(outcomes.__setitem__, 'a'))
        store.answer_all()
        write('peak', SetPreset('peak'))
        write('maintenance', SetPreset('maintenance'))
        write('drain', DrainEngine('brussels-1'))
        write('withdraw', WithdrawVersion('small@1'))
        while store.pending:
            store.step(0, Fate.ANSWERED)
        lost = {
            change_id
            for change_id, outcome in outcomes.items()
            if isinstance(outcome, Failed)
        }
        assert lost == {'maintenance'}

    def test_broken_record_can_be_replaced(self) -> None:
        """Replace an undecodable record by a whole document."""
        store = NaiveStore()
        store.entries[CURRENT_KEY] = Entry(CURRENT_KEY, b'{', 7)
        writer = ConfigurationWriter(store, lambda _, step: step())
        outcomes: list[WriteOutcome] = []
        for change in (SetPreset('peak'), ReplaceDocument(EXAMPLE_TEXT)):
            writer.write(
                WriteRequest(change, 'a', 'ada', 0, 7), outcomes.append
            )
            store.answer_all()
        assert 'record is broken' in str(outcomes[0].error)
        assert isinstance(outcomes[1], Written)

    def test_history_is_bounded(self) -> None:
        """Delete the oldest records and keep the newest."""
        store = NaiveStore()
        writer = ConfigurationWriter(store, lambda _, step: step())
        outcomes: list[WriteOutcome] = []
        first = WriteRequest(ReplaceDocument(EXAMPLE_TEXT), 'c', 'ada', 0, 0)
        writer.write(first, outcomes.append)
        store.answer_all()
        for index in range(70):
            preset = SetPreset(('peak', 'ordinary')[index % 2])
            request = WriteRequest(preset, f'c{index}', 'ada', 0)
            writer.write(request, outcomes.append)
            store.answer_all()
        assert all(isinstance(outcome, Written) for outcome in outcomes)
        assert len(store.entries) == 1 + 64
        reads = []
        writer.read_current(reads.append)
        store.answer_all()
        assert len(reads[0].record.past) == 64
        writer.read_past(reads[0].record.past[-1].revision, reads.append)
        store.answer_all()
        assert reads[1].record.change_id == 'c5'


class TestConfigurationReplica:
    """Test single offers."""

    def test_peers_first_after_a_restart(self) -> None:
        """Wait for other peers before serving by an unconfirmed revision."""
        replica = new_replica(100)
        record = StoredConfiguration('a', 'ada', 0, 'apply', EXAMPLE_TEXT)
        replica.offer(3, encode_record(record), 'peer')
        assert not replica.is_ready(100.5)
        assert replica.is_ready(102)
        assert replica.is_stale(102)
        replica.confirm_revision(3, 102)
        assert not replica.is_stale(131)
        assert replica.is_stale(133)

    def test_faulty_newer_document(self) -> None:
        """Keep the old configuration, which then goes stale."""
        replica = new_replica(0)
        record = StoredConfiguration('a', 'ada', 0, 'apply', EXAMPLE_TEXT)
        replica.offer(3, encode_record(record), 'service')
        broken = replace(record, text=EXAMPLE_TEXT.replace('peak', 'p!'))
        refused = replica.offer(4, encode_record(broken), 'service')
        assert 'name "p!"' in str(refused.faults[0])
        replica.confirm_revision(4, 10)
        assert replica.revision == 3
        assert replica.is_stale(10)
