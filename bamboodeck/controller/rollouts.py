"""Judge the roll-outs and the suspicions of the fleet."""

import functools
from dataclasses import dataclass

from bamboodeck.configuration.changes import (
    ConfigurationChange,
    WithdrawVersion,
    summarize_change,
)
from bamboodeck.configuration.model import Configuration, VersionState
from bamboodeck.configuration.outcomes import Failed, WriteOrder, WriteOutcome
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.controller.ports import FleetPorts
from bamboodeck.controller.rollout_case import (
    CasePorts,
    OnWritten,
    RolloutCase,
)
from bamboodeck.peers.deduplication import DeduplicatingSender
from bamboodeck.peers.messages import (
    EvidenceReported,
    FleetRollouts,
    ShareReleased,
    ShareWanted,
    VersionSuspected,
)
from bamboodeck.peers.messenger import build_holder_id
from bamboodeck.peers.rollouts import (
    RolloutWireMessage,
    decode_rollout_message,
    build_rollout_news,
)
from bamboodeck.rollout.state import WithdrawVersion as WithdrawSuspected
from bamboodeck.rollout.suspicion import (
    ClearSuspicion,
    NodeSuspicion,
    SuspicionEffects,
    SuspicionState,
    WarnOfCommonCause,
    judge_suspicion,
)
from bamboodeck.settings.process import PeerRole

JUDGE_PERIOD_S = 0.5
CHANGED_BY = 'bamboodeck-controller'


@dataclass(frozen=True, slots=True)
class VersionChanged:
    """Log a change of a version that the controller made by itself."""

    change_id: str
    summary: str


@dataclass(frozen=True, slots=True)
class VersionChangeFailed:
    """Log a change that could not be made yet."""

    change_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class VersionSuspectedForAll:
    """Log that enough nodes agree for a withdrawal."""

    version: str
    reason: str


@dataclass(frozen=True, slots=True)
class CommonCauseSuspected:
    """Log that several versions look bad by one signal."""

    signal: str
    versions: str


class FleetJudge:
    """Act while this process holds the fleet's lease."""

    def __init__(self, ports: FleetPorts) -> None:
        """Listen to the zones' holders."""
        post = ports.post
        self._ports = ports
        self._repeats = DeduplicatingSender(post, ports.scheduler)
        self._writer = ConfigurationWriter(
            ports.store,
            ports.scheduler.call_after,
        )
        self._term = 0
        self._cases: dict[str, RolloutCase] = {}
        self._suspicion = SuspicionState()
        self._withdrawing: set[str] = set()
        self._controllers = frozenset(
            each.node
            for each in ports.fleet.nodes
            if each.role is PeerRole.CONTROLLER
        )
        for message_type in (ShareWanted, ShareReleased, EvidenceReported):
            post.on(message_type, self._on_zone)
        post.on(VersionSuspected, self._on_suspected)
        ports.scheduler.call_every(JUDGE_PERIOD_S, self.judge)

    def judge(self) -> None:
        """Let time pass for all roll-outs and tell the controllers."""
        self._keep_term()
        configuration = self._ports.keeper.configuration
        if not self._term or configuration is None:
            return
        for model in configuration.models:
            if model.state is VersionState.WITHDRAWN:
                self._judge_suspicion(ClearSuspicion(model.name))
            if model.name not in self._cases:
                ports = self._build_ports()
                self._cases[model.name] = RolloutCase(model.name, ports)
        for case in self._cases.values():
            case.tick(configuration)
        self._tell()

    def _keep_term(self) -> None:
        term = self._ports.fencing_number()
        if term == self._term:
            return
        for case in self._cases.values():
            case.close()
        self._cases = {}
        self._suspicion = SuspicionState()
        self._withdrawing = set()
        self._repeats.reset()
        self._term = term

    def _build_ports(self) -> CasePorts:
        return CasePorts(
            self._ports.store,
            self._ports.scheduler,
            self._ports.post,
            self._ports.environment.wall_s,
            self._write_change,
            self._ports.log.emit,
            build_holder_id(self._ports.post.own, self._term),
        )

    def _tell(self) -> None:
        states = [case.state for case in self._cases.values()]
        news = FleetRollouts(
            self._term,
            tuple(
                build_rollout_news(state)
                for state in states
                if state is not None
            ),
        )
        for relay in self._ports.all_relays():
            self._repeats.send(relay, news)

    def _on_zone(self, sender: str, message: RolloutWireMessage) -> None:
        if sender not in self._controllers or not self._ports.fencing_number():
            return
        for case in self._cases.values():
            case.take(decode_rollout_message(message))

    def _on_suspected(self, sender: str, message: VersionSuspected) -> None:
        if sender not in self._controllers or not self._ports.fencing_number():
            return
        now_s = self._ports.scheduler.now_s()
        suspicion = NodeSuspicion(
            message.node,
            message.version,
            message.signal,
            now_s,
        )
        for effect in self._judge_suspicion(suspicion):
            match effect:
                case WithdrawSuspected(_, version, reason):
                    self._withdraw(version, reason)
                case WarnOfCommonCause(signal, versions):
                    names = ', '.join(versions)
                    self._ports.log.warn(CommonCauseSuspected(signal, names))

    def _judge_suspicion(
        self,
        message: NodeSuspicion | ClearSuspicion,
    ) -> SuspicionEffects:
        state, effects = judge_suspicion(
            self._suspicion,
            message,
            self._ports.scheduler.now_s(),
        )
        self._suspicion = state
        return effects

    def _withdraw(self, version: str, reason: str) -> None:
        configuration = self._ports.keeper.configuration
        if configuration is None or version in self._withdrawing:
            return
        if not _takes_work(configuration, version):
            return
        self._withdrawing.add(version)
        self._ports.log.emit(VersionSuspectedForAll(version, reason))
        self._write_change(
            WithdrawVersion(version),
            f'suspected-{version}-r{configuration.revision}',
            lambda outcome: self._withdrawing.discard(version),
        )

    def _write_change(
        self,
        change: ConfigurationChange,
        change_id: str,
        on_written: OnWritten,
    ) -> None:
        order = WriteOrder(
            change,
            change_id,
            CHANGED_BY,
            self._ports.environment.wall_s(),
        )
        self._writer.write(
            order,
            functools.partial(self._finish_change, order, on_written),
        )

    def _finish_change(
        self,
        order: WriteOrder,
        on_written: OnWritten,
        outcome: WriteOutcome,
    ) -> None:
        if isinstance(outcome, Failed):
            reason = str(outcome.error)
            self._ports.log.warn(VersionChangeFailed(order.change_id, reason))
        else:
            summary = summarize_change(order.change)
            self._ports.log.emit(VersionChanged(order.change_id, summary))
        on_written(outcome)


def _takes_work(configuration: Configuration, version: str) -> bool:
    model = configuration.models_by_name.get(version)
    return model is not None and model.state is not VersionState.WITHDRAWN
