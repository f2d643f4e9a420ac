"""Evaluate the roll-outs and version suspicions of the fleet."""

import functools
from dataclasses import dataclass

from bamboodeck.configuration.changes import (
    ConfigurationChange,
    WithdrawVersion,
    summarize_change,
)
from bamboodeck.configuration.model import Configuration, VersionState
from bamboodeck.configuration.outcomes import Failed, WriteOutcome, WriteRequest
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.controller.ports import FleetPorts
from bamboodeck.controller.version_rollout import (
    OnWritten,
    VersionRollout,
    VersionRolloutPorts,
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

EVALUATION_PERIOD_S = 0.5
CHANGED_BY = 'bamboodeck-controller'


@dataclass(frozen=True, slots=True)
class VersionChanged:
    """Log a version change that the controller made on its own."""

    change_id: str
    summary: str


@dataclass(frozen=True, slots=True)
class VersionChangeFailed:
    """Log that a version change failed for now."""

    change_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class VersionSuspectedForAll:
    """Log that enough nodes suspect a version to withdraw it."""

    version: str
    reason: str


@dataclass(frozen=True, slots=True)
class CommonCauseSuspected:
    """Log that one signal makes several versions suspect."""

    signal: str
    versions: str


class FleetRolloutManager:
    """Manage the roll-outs while this process holds the fleet lease."""

    def __init__(self, ports: FleetPorts) -> None:
        """Subscribe to messages of the zone lease holders."""
        messenger = ports.messenger
        self._ports = ports
        self._dedup_sender = DeduplicatingSender(messenger, ports.scheduler)
        self._writer = ConfigurationWriter(
            ports.store,
            ports.scheduler.call_after,
        )
        self._term = 0
        self._rollouts: dict[str, VersionRollout] = {}
        self._suspicion = SuspicionState()
        self._withdrawing: set[str] = set()
        self._controllers = frozenset(
            each.node
            for each in ports.fleet.nodes
            if each.role is PeerRole.CONTROLLER
        )
        for message_type in (ShareWanted, ShareReleased, EvidenceReported):
            messenger.on(message_type, self._on_zone_message)
        messenger.on(VersionSuspected, self._on_suspected)
        ports.scheduler.call_every(EVALUATION_PERIOD_S, self.evaluate)

    def evaluate(self) -> None:
        """Advance all roll-outs and broadcast their state to the relays."""
        self._update_term()
        configuration = self._ports.replica.configuration
        if not self._term or configuration is None:
            return
        for model in configuration.models:
            if model.state is VersionState.WITHDRAWN:
                self._judge_suspicion(ClearSuspicion(model.name))
            if model.name not in self._rollouts:
                ports = self._build_ports()
                self._rollouts[model.name] = VersionRollout(model.name, ports)
        for rollout in self._rollouts.values():
            rollout.tick(configuration)
        self._broadcast()

    def _update_term(self) -> None:
        term = self._ports.fencing_number()
        if term == self._term:
            return
        for rollout in self._rollouts.values():
            rollout.close()
        self._rollouts = {}
        self._suspicion = SuspicionState()
        self._withdrawing = set()
        self._dedup_sender.reset()
        self._term = term

    def _build_ports(self) -> VersionRolloutPorts:
        return VersionRolloutPorts(
            self._ports.store,
            self._ports.scheduler,
            self._ports.messenger,
            self._ports.environment.wall_s,
            self._write_change,
            self._ports.log.emit,
            build_holder_id(self._ports.messenger.own, self._term),
        )

    def _broadcast(self) -> None:
        states = [rollout.state for rollout in self._rollouts.values()]
        news = FleetRollouts(
            self._term,
            tuple(
                build_rollout_news(state)
                for state in states
                if state is not None
            ),
        )
        for relay in self._ports.all_relays():
            self._dedup_sender.send(relay, news)

    def _on_zone_message(
        self, sender: str, message: RolloutWireMessage
    ) -> None:
        if sender not in self._controllers or not self._ports.fencing_number():
            return
        for rollout in self._rollouts.values():
            rollout.handle(decode_rollout_message(message))

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
        configuration = self._ports.replica.configuration
        if configuration is None or version in self._withdrawing:
            return
        if not _is_active(configuration, version):
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
        order = WriteRequest(
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
        order: WriteRequest,
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


def _is_active(configuration: Configuration, version: str) -> bool:
    model = configuration.models_by_name.get(version)
    return model is not None and model.state is not VersionState.WITHDRAWN
