"""Relay roll-outs between a zone's nodes and the fleet lease holder."""

from collections.abc import Callable

from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.deduplication import DeduplicatingSender
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.messages import (
    EvidenceAccepted,
    EvidenceReported,
    FleetRollouts,
    ShareGranted,
    ShareReleased,
    ShareWanted,
    VersionSuspected,
    ZoneRollouts,
)
from bamboodeck.peers.messenger import Messenger, build_holder_id, node_of
from bamboodeck.peers.rollouts import (
    RolloutDomainMessage,
    RolloutWireMessage,
    decode_rollout_message,
    encode_rollout_message,
)
from bamboodeck.rollout.state import (
    AcceptEvidence,
    GrantShare,
    Phase,
    RequestShare,
)
from bamboodeck.rollout.zone import (
    RelayTick,
    ZoneRolloutState,
    relay,
    release_zone,
)
from bamboodeck.settings.process import PeerRole

RELAY_PERIOD_S = 0.5


class ZoneRolloutRelay:
    """Split the zone's share among its nodes while holding its lease."""

    def __init__(
        self,
        messenger: Messenger,
        fleet: FleetMap,
        scheduler: Scheduler,
        fencing_number: Callable[[], int],
    ) -> None:
        """Subscribe to messages of the nodes and the fleet lease holder."""
        self.fleet_holder = ''
        self._messenger = messenger
        self._dedup_sender = DeduplicatingSender(messenger, scheduler)
        self._entries = frozenset(fleet.in_zone(PeerRole.ENTRY))
        self._fencing_number = fencing_number
        self._term = 0
        self._news = FleetRollouts(0, ())
        self._states: dict[str, ZoneRolloutState] = {}
        messenger.on(FleetRollouts, self._on_news)
        for message_type in (ShareWanted, ShareReleased, EvidenceReported):
            messenger.on(message_type, self._on_node_message)
        for message_type in (ShareGranted, EvidenceAccepted):
            messenger.on(message_type, self._on_fleet_message)
        messenger.on(VersionSuspected, self._on_suspected)
        scheduler.call_every(RELAY_PERIOD_S, self.relay)

    def relay(self) -> None:
        """Broadcast the roll-outs and send due requests and reports."""
        self._update_term()
        if not self._term:
            return
        news = ZoneRollouts(self._source, self._news.rollouts)
        for node in self._entries:
            self._dedup_sender.send(node, news)
        for version in tuple(self._states):
            self._advance(version, RelayTick())

    def close(self) -> None:
        """Release the ungranted part of the share at the end of a term."""
        for state in self._states.values():
            released = encode_rollout_message(release_zone(state), self._source)
            self._messenger.send(self.fleet_holder, released)
        self._states = {}

    @property
    def _source(self) -> str:
        return build_holder_id(self._messenger.own, self._term)

    def _update_term(self) -> None:
        term = self._fencing_number()
        if term == self._term:
            return
        self.close()
        self._dedup_sender.reset()
        self._term = term
        self._sync_states()

    def _sync_states(self) -> None:
        if not self._term:
            return
        running = {
            each.version: each.rollout_id
            for each in self._news.rollouts
            if each.phase == Phase.RUNNING.value
        }
        for version in self._states.keys() - running.keys():
            self._states.pop(version)
        for version, rollout_id in running.items():
            state = self._states.get(version)
            if state is None or state.rollout_id != rollout_id:
                self._states[version] = ZoneRolloutState(
                    rollout_id,
                    version,
                    self._source,
                )

    def _on_news(self, sender: str, news: FleetRollouts) -> None:
        # A former holder that was paused may not know of its successor yet.
        if news.fencing_number < self._news.fencing_number:
            return
        self.fleet_holder = sender
        self._news = news
        self._sync_states()

    def _on_node_message(
        self, sender: str, message: RolloutWireMessage
    ) -> None:
        if sender in self._entries:
            self._apply(message)

    def _on_fleet_message(
        self, sender: str, message: RolloutWireMessage
    ) -> None:
        if sender == self.fleet_holder:
            self._apply(message)

    def _apply(self, message: RolloutWireMessage) -> None:
        for version, state in tuple(self._states.items()):
            if state.rollout_id == message.rollout_id:
                self._advance(version, decode_rollout_message(message))

    def _advance(
        self, version: str, message: RolloutDomainMessage | RelayTick
    ) -> None:
        state, effects = relay(self._states[version], message)
        self._states[version] = state
        for effect in effects:
            message = encode_rollout_message(effect, self._source)
            match effect:
                case GrantShare(holder=holder) | RequestShare(holder=holder):
                    node = self._address(effect)
                    self._dedup_sender.send(
                        node, message, f'{version} {holder}'
                    )
                case _:
                    self._messenger.send(self._address(effect), message)

    def _address(self, effect: RolloutDomainMessage) -> str:
        match effect:
            case GrantShare() | AcceptEvidence():
                return node_of(effect.holder)
            case _:
                return self.fleet_holder

    def _on_suspected(self, sender: str, message: VersionSuspected) -> None:
        # Only reports of own entry processes are forwarded: the fleet lease
        # holder would loop on those it sends to itself.
        if sender in self._entries and self._term:
            self._messenger.send(self.fleet_holder, message)
