"""Simulate roll-out decisions and the withdrawal of bad versions."""

from collections.abc import Sequence
from dataclasses import replace

from bamboodeck.configuration.model import (
    Configuration,
    Model,
    VersionState,
)
from bamboodeck.policybench.node import Node
from bamboodeck.quality.messages import Rating
from bamboodeck.rollout.change_detector import ChangeAlarm, ChangeDetector
from bamboodeck.rollout.decisions import decide
from bamboodeck.rollout.evidence import (
    AnswerOutcome,
    Reference,
    find_shortfall,
)
from bamboodeck.rollout.gate import NodeShare, RolloutGate
from bamboodeck.rollout.state import (
    ConfirmOutcome,
    GrantShare,
    PromoteVersion,
    ReportEvidence,
    RequestShare,
    RolloutEffect,
    RolloutMessage,
    RolloutRules,
    RolloutState,
    StartRollout,
    Tick,
    WithdrawVersion,
)

MIN_REFERENCE_COUNT = 30
REFERENCE_Z_SCORE = 2.0
MIN_SUSPECTING_NODES = 2
SHARE_HEADROOM_WEIGHT = 25.0


class NodeMonitor:
    """Check the ratings of one node and control its roll-out gate."""

    def __init__(self, node: Node, models: dict[str, Model]) -> None:
        """Install the roll-out gate in the node's router."""
        self.node = node
        self.gate = RolloutGate(node.stale_after_s)
        self.evidence: list[AnswerOutcome] = []
        self._models = models
        self._detectors: dict[str, ChangeDetector] = {}
        node.router.set_rollout_admission(self.gate)

    def on_rating(self, rating: Rating) -> ChangeAlarm | None:
        """Evaluate a rating; return the alarm that it triggers, if any."""
        model = self._models[rating.version]
        if model.state is VersionState.ROLLOUT:
            self._on_rollout_rating(rating, model)
            return None
        if rating.step:
            return None
        estimate = self.node.router.quality.estimate(
            rating.version,
            rating.customer,
            rating.request_class,
        )
        if estimate.weight < MIN_REFERENCE_COUNT:
            return None
        detector = self._detectors.setdefault(
            rating.version,
            ChangeDetector(rating.version),
        )
        reference = Reference(estimate.lower(REFERENCE_Z_SCORE), 0, 0)
        alarm = detector.observe(AnswerOutcome(reference, rating.score))
        if alarm is not None:
            self.block(rating.version, f'{alarm.signal} turned bad')
        return alarm

    def block(self, version: str, reason: str) -> None:
        """Stop using a version on this node."""
        self.gate.block(version)
        self.node.router.block_version(version, reason)

    def _on_rollout_rating(self, rating: Rating, model: Model) -> None:
        quality = self.node.router.quality
        scores = quality.scores(
            model.rollout_baseline,
            rating.customer,
            rating.request_class,
        )
        mean = scores.mean
        shortfall = (scores.mean_with_fallback(mean, mean) - mean) / mean
        outcome = AnswerOutcome(
            Reference(mean, 0, 0, max(shortfall, 0)),
            rating.score,
        )
        self.evidence.append(outcome)
        self.gate.record_rating(
            model.name,
            model.name,
            self.node.exposure_weight_of(rating.customer, rating.request_class),
            find_shortfall(outcome),
        )


class FleetController:
    """Decide on roll-outs and withdraw versions for the whole fleet."""

    def __init__(
        self,
        configuration: Configuration,
        nodes: Sequence[Node],
    ) -> None:
        """Start all roll-outs of the configuration."""
        self._configuration = configuration
        self.monitors = [
            NodeMonitor(node, configuration.models_by_name) for node in nodes
        ]
        self._suspecting_nodes: dict[str, set[int]] = {}
        self._sequences: dict[tuple[str, int], int] = {}
        self._states: dict[str, RolloutState | None] = {}
        self.withdrawn_s: dict[str, float] = {}
        for model in configuration.models:
            if model.state is not VersionState.ROLLOUT:
                continue
            rules = RolloutRules(model.rollout_max_exposed_weight)
            start = StartRollout(model.name, model.name, rules)
            self._states[model.name] = None
            self._decide(model.name, start, 0)

    def on_rating(self, node: int, rating: Rating, now_s: float) -> None:
        """Evaluate a rating; withdraw a version that several nodes suspect."""
        alarm = self.monitors[node].on_rating(rating)
        if alarm is None:
            return
        suspecting = self._suspecting_nodes.setdefault(alarm.version, set())
        suspecting.add(node)
        if len(suspecting) >= MIN_SUSPECTING_NODES:
            self._withdraw(alarm.version, 'turned bad', now_s)

    def on_tick(self, connected: Sequence[int], now_s: float) -> None:
        """Collect evidence from the connected nodes and grant them shares."""
        for node in connected:
            self.monitors[node].gate.mark_fresh(now_s)
        for version in self._states:
            for node in connected:
                self._report_node(version, node, now_s)
            self._decide(version, Tick(), now_s)

    def _report_node(self, version: str, node: int, now_s: float) -> None:
        monitor = self.monitors[node]
        if monitor.evidence:
            sequence = self._sequences.get((version, node), 0) + 1
            self._sequences[version, node] = sequence
            report = ReportEvidence(
                version,
                str(node),
                sequence,
                tuple(monitor.evidence),
            )
            monitor.evidence.clear()
            self._decide(version, report, now_s)
        wanted = monitor.gate.risked_weight(version) + SHARE_HEADROOM_WEIGHT
        request = RequestShare(version, str(node), wanted)
        self._decide(version, request, now_s)

    def _decide(
        self,
        version: str,
        message: RolloutMessage,
        now_s: float,
    ) -> None:
        state, effects = decide(self._states[version], message, now_s)
        self._states[version] = state
        for effect in effects:
            self._apply(effect, now_s)

    def _apply(self, effect: RolloutEffect, now_s: float) -> None:
        match effect:
            case GrantShare(rollout_id, version, holder, granted_weight):
                share = NodeShare(rollout_id, version, granted_weight)
                self.monitors[int(holder)].gate.set_share(share)
            case WithdrawVersion(rollout_id, version, reason):
                self._withdraw(version, reason, now_s)
                self._decide(rollout_id, ConfirmOutcome(rollout_id), now_s)
            case PromoteVersion(rollout_id, version):
                self._promote(version)
                self._decide(rollout_id, ConfirmOutcome(rollout_id), now_s)

    def _withdraw(self, version: str, reason: str, now_s: float) -> None:
        self.withdrawn_s.setdefault(version, now_s)
        for monitor in self.monitors:
            monitor.block(version, reason)

    def _promote(self, version: str) -> None:
        models = tuple(
            replace(model, state=VersionState.STEADY)
            if model.name == version
            else model
            for model in self._configuration.models
        )
        self._configuration = replace(self._configuration, models=models)
        for monitor in self.monitors:
            monitor.node.router.apply_configuration(self._configuration)
