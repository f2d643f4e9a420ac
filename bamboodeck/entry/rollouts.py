"""Evaluate the answers of versions in roll-out and of steady versions."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.chat.context import (
    AnswerToRate,
    AttemptEnding,
    AttemptOutcome,
)
from bamboodeck.configuration.model import Configuration, Model, VersionState
from bamboodeck.entry.references import AnswerStatistics
from bamboodeck.entry.rollout_shares import NodeRolloutShares
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import VersionSuspected
from bamboodeck.rollout.change_detector import ChangeAlarm
from bamboodeck.rollout.evidence import (
    AnswerOutcome,
    Reference,
    find_shortfall,
)
from bamboodeck.rollout.gate import RolloutGate
from bamboodeck.rollout.version_monitor import CommonCause, VersionMonitor
from bamboodeck.routing.router import Router

MIN_OWN_RATINGS = 30
SLOW_FACTOR = 3.0
REPORT_PERIOD_S = 2.0
MAX_SLOW_RECORDS = 5000

FindRelays = Callable[[], tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class VersionBlocked:
    """Log that this node has blocked a version on its own evidence."""

    version: str
    signal: str
    e_value: float
    answers: int


@dataclass(frozen=True, slots=True)
class VersionUnblocked:
    """Log that a block ended because the configuration withdrew the version."""

    version: str
    state: str


@dataclass(frozen=True, slots=True)
class CommonCauseSeen:
    """Log several versions degrading at once, which blocks none of them."""

    signal: str
    versions: str


@dataclass(frozen=True, slots=True)
class _Cell:
    version: str
    customer: str
    request_class: str


class NodeRollouts:
    """Pass answer outcomes to the gate, the evidence and the monitor."""

    def __init__(
        self,
        link: PeerLink,
        scheduler: Scheduler,
        log: EventLog,
        node: str,
        gate: RolloutGate,
        shares: NodeRolloutShares,
        relays: FindRelays,
    ) -> None:
        """Ignore outcomes until there is a configuration and a router."""
        self.gate = gate
        self.shares = shares
        self._link = link
        self._log = log
        self._node = node
        self._relays = relays
        self._monitor = VersionMonitor()
        self._statistics = AnswerStatistics()
        self._blocked: dict[str, str] = {}
        self._slow: OrderedDict[tuple[str, str], bool] = OrderedDict()
        self._configuration: Configuration | None = None
        self._router: Router | None = None
        self._common_causes: set[CommonCause] = set()
        scheduler.call_every(REPORT_PERIOD_S, self._report_suspicions)

    @property
    def blocked_count(self) -> int:
        """Return the number of versions blocked by this node."""
        return len(self._blocked)

    @property
    def risked_weight(self) -> float:
        """Return the unrated or lost weight over all roll-outs."""
        return sum(
            self.gate.risked_weight(each.version)
            for each in self.shares.rollouts
        )

    def attach(self, router: Router) -> None:
        """Let a router consult the gate."""
        self._router = router
        router.set_rollout_admission(self.gate)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the versions and bounds of a revision."""
        self._configuration = configuration
        self.gate.set_max_staleness(configuration.stale_after_s)
        self._monitor.retain(frozenset(configuration.models_by_name))
        for model in configuration.models:
            if model.state is VersionState.WITHDRAWN:
                self._clear_withdrawn(model)

    def mark_fresh(self, fresh_s: float) -> None:
        """Record up to when the configuration is known to be fresh."""
        self.gate.mark_fresh(fresh_s)

    def release_shares(self) -> None:
        """Return all shares on shutdown."""
        self.shares.release_all()

    def on_attempt(self, ended: AttemptOutcome) -> None:
        """Evaluate the outcome of an attempt, before its answer is rated."""
        model = self._find_model(ended.version)
        if model is None:
            return
        failed = ended.ending in {
            AttemptEnding.CRASHED,
            AttemptEnding.CANCELLED,
        }
        if ended.ending is AttemptEnding.REFUSED:
            self._refund(ended)
            return
        slow = not failed and self._is_slow(model, ended)
        if failed:
            cell = _Cell(ended.version, ended.customer, ended.request_class)
            self._judge(model, cell, None, failed=True)
        elif model.state is not VersionState.WITHDRAWN:
            self._remember_slow(ended, slow=slow)
        self._statistics.count_run(ended.version, failed=failed, slow=slow)

    def on_rated(self, answer: AnswerToRate, score: float) -> None:
        """Evaluate the score of an answer."""
        model = self._find_model(answer.version)
        if model is None:
            return
        cell = _Cell(answer.version, answer.customer, answer.request_class)
        slow = self._slow.pop((answer.request_id, answer.version), False)
        self._judge(model, cell, score, slow=slow)
        self._statistics.add_score(_key(cell), score)

    def _judge(
        self,
        model: Model,
        cell: _Cell,
        score: float | None,
        *,
        failed: bool = False,
        slow: bool = False,
    ) -> None:
        if model.state is VersionState.ROLLOUT:
            reference = self._baseline(model, cell)
            outcome = AnswerOutcome(reference, score, failed, slow)
            self.gate.record_rating(
                self.shares.rollout_id(model.name),
                model.name,
                self._weight(cell),
                find_shortfall(outcome),
            )
            self.shares.report(model.name, outcome)
            return
        reference = self._statistics.own_reference(_key(cell), MIN_OWN_RATINGS)
        if reference is None or model.state is not VersionState.STEADY:
            return
        self._observe(
            model.name,
            AnswerOutcome(reference, score, failed, slow),
        )

    def _observe(self, version: str, outcome: AnswerOutcome) -> None:
        if version in self._blocked:
            return
        match self._monitor.observe(version, outcome):
            case ChangeAlarm(e_value=e_value, signal=signal, answers=answers):
                self._blocked[version] = signal
                self._log.warn(
                    VersionBlocked(version, signal, e_value, answers),
                )
                reason = f'{signal} turned bad on this node'
                self._router.block_version(version, reason)
                self._report_suspicions()
            case CommonCause() as cause if cause not in self._common_causes:
                self._common_causes.add(cause)
                names = ', '.join(cause.versions)
                self._log.warn(CommonCauseSeen(cause.signal, names))

    def _clear_withdrawn(self, model: Model) -> None:
        """Drop the local state of a version that the configuration withdrew."""
        self._monitor.reset(model.name)
        self._statistics.forget(model.name)
        if self._blocked.pop(model.name, None) is not None:
            self._router.unblock_version(model.name)
            self._log.emit(VersionUnblocked(model.name, model.state.value))

    def _report_suspicions(self) -> None:
        for version, signal in self._blocked.items():
            for relay in self._relays():
                self._link.send(
                    relay,
                    VersionSuspected(self._node, version, signal),
                )

    def _baseline(self, model: Model, cell: _Cell) -> Reference:
        baseline = model.rollout_baseline
        estimate = self._router.quality.estimate(
            baseline,
            cell.customer,
            cell.request_class,
        )
        key = (baseline, cell.customer, cell.request_class)
        return self._statistics.reference(key, estimate.mean)

    def _refund(self, ended: AttemptOutcome) -> None:
        cell = _Cell(ended.version, ended.customer, ended.request_class)
        self.gate.refund(
            self.shares.rollout_id(ended.version),
            ended.version,
            self._weight(cell),
        )

    def _weight(self, cell: _Cell) -> float:
        configuration = self._configuration
        for customer in configuration.customers:
            if customer.name == cell.customer:
                request_class = configuration.classes_by_name[
                    cell.request_class
                ]
                return customer.weight * request_class.exposure_weight
        return 0.0

    def _is_slow(self, model: Model, ended: AttemptOutcome) -> bool:
        """Compare the latency with the expected one of the baseline."""
        models = self._configuration.models_by_name
        expected = models.get(model.rollout_baseline, model)
        classes = self._configuration.classes_by_name
        tokens = classes[ended.request_class].expected_output_tokens
        expected_s = expected.first_token_s + tokens / expected.tokens_per_s
        return ended.latency_s > SLOW_FACTOR * expected_s

    def _remember_slow(self, ended: AttemptOutcome, *, slow: bool) -> None:
        self._slow[ended.request_id, ended.version] = slow
        if len(self._slow) > MAX_SLOW_RECORDS:
            self._slow.popitem(last=False)

    def _find_model(self, version: str) -> Model | None:
        if self._configuration is None or self._router is None:
            return None
        return self._configuration.models_by_name.get(version)


def _key(cell: _Cell) -> tuple[str, str, str]:
    return (cell.version, cell.customer, cell.request_class)
