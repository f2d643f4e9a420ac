"""Judge the answers of versions on a node: new ones and steady ones."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.chat.context import (
    AnswerToRate,
    AttemptEnding,
    AttemptOutcome,
)
from bamboodeck.configuration.model import Configuration, Model, VersionState
from bamboodeck.entry.references import UsualAnswers
from bamboodeck.entry.rollout_shares import NodeShares
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
REPEAT_PERIOD_S = 2.0
MAX_SLOW_KEPT = 5000

FindRelays = Callable[[], tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class VersionBlocked:
    """Log that this node stopped a version by itself."""

    version: str
    signal: str
    e_value: float
    answers: int


@dataclass(frozen=True, slots=True)
class VersionUnblocked:
    """Log that the configuration decides on a blocked version again."""

    version: str
    state: str


@dataclass(frozen=True, slots=True)
class CommonCauseSeen:
    """Log that several versions look bad at once, so none is blamed."""

    signal: str
    versions: str


@dataclass(frozen=True, slots=True)
class _Cell:
    version: str
    customer: str
    request_class: str


class NodeRollouts:
    """Feed the gate, the evidence and the watch with what answers are like."""

    def __init__(
        self,
        link: PeerLink,
        scheduler: Scheduler,
        log: EventLog,
        node: str,
        gate: RolloutGate,
        shares: NodeShares,
        relays: FindRelays,
    ) -> None:
        """Judge nothing before there is a configuration."""
        self.gate = gate
        self.shares = shares
        self._link = link
        self._log = log
        self._node = node
        self._relays = relays
        self._watch = VersionMonitor()
        self._usual = UsualAnswers()
        self._blocked: dict[str, str] = {}
        self._slow: OrderedDict[tuple[str, str], bool] = OrderedDict()
        self._configuration: Configuration | None = None
        self._router: Router | None = None
        self._common_causes: set[CommonCause] = set()
        scheduler.call_every(REPEAT_PERIOD_S, self._tell_suspicions)

    @property
    def blocked_count(self) -> int:
        """Count the versions that this node has stopped by itself."""
        return len(self._blocked)

    @property
    def risked_weight(self) -> float:
        """Return the weight that is unrated or lost, of all roll-outs."""
        return sum(
            self.gate.risked_weight(each.version) for each in self.shares.news
        )

    def attach(self, router: Router) -> None:
        """Let the router ask the gate."""
        self._router = router
        router.set_rollout_admission(self.gate)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take the versions and bounds of a revision."""
        self._configuration = configuration
        self.gate.set_max_staleness(configuration.stale_after_s)
        self._watch.retain(frozenset(configuration.models_by_name))
        for model in configuration.models:
            if model.state is VersionState.WITHDRAWN:
                self._clear(model)

    def hear(self, fresh_s: float) -> None:
        """Note up to which time the configuration is known to be fresh."""
        self.gate.mark_fresh(fresh_s)

    def leave(self) -> None:
        """Give all shares back, as the process stops."""
        self.shares.leave_all()

    def on_attempt(self, ended: AttemptOutcome) -> None:
        """Judge how an attempt ended, before it is rated."""
        model = self._find_model(ended.version)
        if model is None:
            return
        failed = ended.ending in {
            AttemptEnding.CRASHED,
            AttemptEnding.CANCELLED,
        }
        if ended.ending is AttemptEnding.REFUSED:
            self._give_back(ended)
            return
        slow = not failed and self._is_slow(model, ended)
        if failed:
            cell = _Cell(ended.version, ended.customer, ended.request_class)
            self._judge(model, cell, None, failed=True)
        elif model.state is not VersionState.WITHDRAWN:
            self._remember_slow(ended, slow=slow)
        self._usual.count_run(ended.version, failed=failed, slow=slow)

    def on_rated(self, answer: AnswerToRate, score: float) -> None:
        """Judge the score of an answer."""
        model = self._find_model(answer.version)
        if model is None:
            return
        cell = _Cell(answer.version, answer.customer, answer.request_class)
        slow = self._slow.pop((answer.request_id, answer.version), False)
        self._judge(model, cell, score, slow=slow)
        self._usual.add_score(_key(cell), score)

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
        reference = self._usual.own_reference(_key(cell), MIN_OWN_RATINGS)
        if reference is None or model.state is not VersionState.STEADY:
            return
        self._observe(
            model.name,
            AnswerOutcome(reference, score, failed, slow),
        )

    def _observe(self, version: str, outcome: AnswerOutcome) -> None:
        if version in self._blocked:
            return
        match self._watch.observe(version, outcome):
            case ChangeAlarm(e_value=e_value, signal=signal, answers=answers):
                self._blocked[version] = signal
                self._log.warn(
                    VersionBlocked(version, signal, e_value, answers),
                )
                reason = f'{signal} turned bad on this node'
                self._router.block_version(version, reason)
                self._tell_suspicions()
            case CommonCause() as cause if cause not in self._common_causes:
                self._common_causes.add(cause)
                names = ', '.join(cause.versions)
                self._log.warn(CommonCauseSeen(cause.signal, names))

    def _clear(self, model: Model) -> None:
        """Leave a version to the configuration, which has withdrawn it."""
        self._watch.reset(model.name)
        self._usual.forget(model.name)
        if self._blocked.pop(model.name, None) is not None:
            self._router.unblock_version(model.name)
            self._log.emit(VersionUnblocked(model.name, model.state.value))

    def _tell_suspicions(self) -> None:
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
        return self._usual.reference(key, estimate.mean)

    def _give_back(self, ended: AttemptOutcome) -> None:
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
        """Hold the latency against the usual one of the baseline."""
        models = self._configuration.models_by_name
        usual = models.get(model.rollout_baseline, model)
        classes = self._configuration.classes_by_name
        tokens = classes[ended.request_class].expected_output_tokens
        usual_s = usual.first_token_s + tokens / usual.tokens_per_s
        return ended.latency_s > SLOW_FACTOR * usual_s

    def _remember_slow(self, ended: AttemptOutcome, *, slow: bool) -> None:
        self._slow[ended.request_id, ended.version] = slow
        if len(self._slow) > MAX_SLOW_KEPT:
            self._slow.popitem(last=False)

    def _find_model(self, version: str) -> Model | None:
        if self._configuration is None or self._router is None:
            return None
        return self._configuration.models_by_name.get(version)


def _key(cell: _Cell) -> tuple[str, str, str]:
    return (cell.version, cell.customer, cell.request_class)
