"""Run the store polling of a whole zone on a virtual clock."""

import errno
from collections.abc import Callable
from functools import partial
from random import Random
from types import SimpleNamespace

from bamboodeck.gateway.discovery import Discovery
from bamboodeck.gateway.engines import EngineTable
from bamboodeck.gateway.fleet import PUBLISH_PERIOD_S
from bamboodeck.gateway.measures import GatewayMetrics
from bamboodeck.gateway.model import (
    Bounds,
    EngineEntry,
    GatewayConfiguration,
)
from bamboodeck.gateway.places.evacuation import EvacuationState
from bamboodeck.gateway.ports import (
    ConfigurationListed,
    EngineSeen,
    EngineUnlisted,
    Fact,
    HistoryLost,
    Position,
    RegistryFailed,
    RegistryReply,
    Snapshot,
    Update,
    ZoneEvacuated,
    ZoneReturned,
)
from bamboodeck.gateway.store_polling import ZoneRank
from bamboodeck.gateway.suspect_parts import SuspectParts
from bamboodeck.http.relay_server import CallerLimits
from bamboodeck.platform.store import CALL_TIMEOUT_S, WATCH_SLACK_S
from tests.virtual_store import VirtualClock

ANSWER_S = 0.01
MESSAGE_S = 0.001
SILENT_S = 2.0
# Reads of a configuration may be this old.
STALE_READ_S = 3.0
OnReply = Callable[[RegistryReply], None]


class CancellableCall:
    """Hold a scheduled callback."""

    def __init__(self, callback: Callable[[], None]) -> None:
        """Start uncancelled."""
        self._callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Don't run the callback."""
        self._callback = None

    def run(self) -> None:
        """Run the callback unless it was cancelled."""
        if self._callback is not None:
            self._callback()


class VirtualRegistry:
    """Answer one host's calls for the store of its zone."""

    def __init__(self, zone: 'VirtualZone', rank: int) -> None:
        """Start without calls."""
        self._zone = zone
        self._rank = rank

    def read_all(self, on_reply: OnReply, *, stale: bool = False) -> None:
        """Return a snapshot."""
        zone = self._zone
        self._answer(
            on_reply,
            lambda: Snapshot(zone.list_newest(), zone.revision, zone.era),
        )

    def read_configuration(self, on_reply: OnReply) -> None:
        """Return the newest configuration that is old enough to be read."""
        zone = self._zone
        readable_s = zone.clock.now_s - zone.stale_read_s
        listed = [
            each
            for each, written_s in zone.configurations
            if written_s <= readable_s
        ]
        snapshot = Snapshot(tuple(listed[-1:]), zone.revision, zone.era)
        # The store also answers stale reads of hosts that it refuses.
        zone.clock.call_after(zone.answer_s, lambda: on_reply(snapshot))

    def wait_for_changes(
        self,
        after_revision: int,
        wait_s: float,
        on_reply: OnReply,
    ) -> None:
        """Return the changes after a revision, or none after `wait_s`."""
        zone = self._zone

        era = zone.era

        def build() -> RegistryReply:
            if after_revision > zone.revision:
                return HistoryLost(zone.era)
            if zone.era > era:
                # A restored store forgets the calls that wait.
                return RegistryFailed('lost')
            return Update(
                zone.changes_after(after_revision),
                zone.revision,
                zone.era,
            )

        due = zone.revision != after_revision
        self._answer(
            on_reply,
            build,
            0.0 if due else wait_s,
            wait_s + WATCH_SLACK_S,
        )

    def _answer(
        self,
        on_reply: OnReply,
        build: Callable[[], RegistryReply],
        wait_s: float = 0.0,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        zone = self._zone
        zone.count_call()
        if zone.out_of_descriptors:
            raise OSError(errno.EMFILE, 'Too many open files')
        if zone.loses_callbacks:
            return
        if zone.silent or zone.take_silent_connection(self._rank):
            lost = RegistryFailed('no data received')
            zone.clock.call_after(timeout_s, lambda: on_reply(lost))
            return
        if not zone.serves(self._rank):
            failed = RegistryFailed('refused')
            zone.clock.call_after(zone.failure_s, lambda: on_reply(failed))
            return
        call = WaitingCall(
            zone,
            self._rank,
            on_reply,
            build,
            timeout_s - wait_s - zone.answer_s,
        )
        zone.clock.call_after(zone.answer_s + wait_s, call.finish)
        if wait_s:
            zone.waiting.append(call.finish_early)


class WaitingCall:
    """Hold a call that the store has received."""

    def __init__(
        self,
        zone: 'VirtualZone',
        rank: int,
        on_reply: OnReply,
        build: Callable[[], RegistryReply],
        left_s: float,
    ) -> None:
        """Start to wait; a lost call times out `left_s` after its end."""
        self._zone = zone
        self._rank = rank
        self._on_reply = on_reply
        self._build = build
        self._left_s = left_s
        self._silences = zone.silences
        self._answered = False

    def finish_early(self) -> None:
        """Answer at a change, unless the store has forgotten the call."""
        forgotten = self._zone.silences > self._silences
        if not forgotten and self._zone.serves(self._rank):
            self.finish()

    def finish(self) -> None:
        """Answer once."""
        if self._answered:
            return
        self._answered = True
        zone = self._zone
        # A store that went away forgets the calls that wait.
        if zone.silences > self._silences:
            self._fail('no data received', self._left_s)
        elif zone.serves(self._rank):
            self._on_reply(self._build())
        else:
            self._fail('lost', zone.failure_s)

    def _fail(self, reason: str, delay_s: float) -> None:
        self._zone.clock.call_after(
            delay_s,
            lambda: self._on_reply(RegistryFailed(reason)),
        )


class VirtualZone:
    """Hold the hosts of a zone, which poll the store and tell each other."""

    def __init__(self, hosts: int, bounds: Bounds, seed: int = 1) -> None:
        """Start all hosts, following a store that serves all of them."""
        self.clock = VirtualClock(1000.0)
        self.revision = 1
        self.era = 1
        self._version = 0
        self.serves: Callable[[int], bool] = lambda rank: True
        self.answer_s = ANSWER_S
        self.stale_read_s = STALE_READ_S
        self.failure_s = ANSWER_S
        # Calls raise an error before they are sent.
        self.out_of_descriptors = False
        # Calls never end, as their callbacks are lost.
        self.loses_callbacks = False
        # Whether the hosts hear each other.
        self.connected = True
        # The hosts that have exited.
        self.exited: set[int] = set()
        # Whether hosts tell each other when the store last answered them.
        self.tells_age = False
        # A silent store answers no call, and forgets those that wait.
        self.silent = False
        self.silences = 0
        # The hosts whose open connection to the store is silent for good.
        self._silent_connections: set[int] = set()
        self.calls: list[float] = []
        # Answer the calls that wait for a change.
        self.waiting: list[Callable[[], None]] = []
        # Changes that hosts were sent because they asked.
        self.sent_changes = 0
        self._random = Random(seed)
        self._changes: list[Fact] = []
        self.configurations: list[tuple[ConfigurationListed, float]] = []
        self.contexts: list[SimpleNamespace] = []
        self.discoveries: list[Discovery] = []
        for rank in range(hosts):
            self._add_host(rank, hosts, bounds)

    def put_change(self) -> None:
        """Change the store."""
        self.revision += 1
        self._changes.append(
            EngineUnlisted(f'engine-{self.revision}', 'gone', self.revision),
        )
        self.answer_waiting()

    def put_removal(self, entry: EngineEntry) -> None:
        """Remove the entry of an engine."""
        self.revision += 1
        self._changes.append(
            EngineUnlisted(entry.engine_id, 'removed', self.revision),
        )
        self.answer_waiting()

    def put_engine(self, entry: EngineEntry) -> None:
        """List an engine."""
        self.revision += 1
        self._changes.append(EngineSeen(entry, self.revision))
        self.answer_waiting()

    def put_evacuation(self, zone: str) -> None:
        """Evacuate a zone."""
        self.revision += 1
        self._changes.append(ZoneEvacuated(zone, self.revision))
        self.answer_waiting()

    def remove_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.revision += 1
        self._changes.append(ZoneReturned(zone, self.revision))
        self.answer_waiting()

    def evacuating(self, zone: str) -> int:
        """Return how many hosts send nothing to a zone."""
        return sum(each.evacuations.covers(zone) for each in self.contexts)

    def using(self, entry: EngineEntry) -> int:
        """Return how many hosts may send an engine requests."""
        engines = [
            context.engines.find(entry.engine_id) for context in self.contexts
        ]
        return sum(
            engine is not None and not engine.unlisted for engine in engines
        )

    def put_configuration(self) -> None:
        """Write a new configuration."""
        self.revision += 1
        self._version += 1
        configuration = GatewayConfiguration(
            self._version,
            (),
            {},
            CallerLimits(),
            None,
        )
        listed = ConfigurationListed(configuration, self.revision)
        self.configurations.append((listed, self.clock.now_s))
        self._changes.append(listed)
        self.answer_waiting()

    def restore(self, lost_changes: int) -> None:
        """Restore the store from a copy that lacks the latest changes."""
        self.era += 1
        self.revision -= lost_changes
        self._changes = [
            each for each in self._changes if each.revision <= self.revision
        ]
        self.configurations = [
            (listed, written_s)
            for listed, written_s in self.configurations
            if listed.revision <= self.revision
        ]

    def list_newest(self) -> tuple[Fact, ...]:
        """Return the newest configuration and the evacuated zones."""
        evacuated = {}
        for change in self._changes:
            match change:
                case ZoneEvacuated(zone=zone):
                    evacuated[zone] = change
                case ZoneReturned(zone=zone):
                    evacuated.pop(zone, None)
        listed = [listed for listed, _ in self.configurations[-1:]]
        return (*listed, *evacuated.values())

    def answer_waiting(self) -> None:
        """Answer the calls that wait for a change."""
        for finish in self.waiting:
            self.clock.call_after(self.answer_s, finish)
        self.waiting.clear()

    def configured(self) -> int:
        """Return how many running hosts have the newest configuration."""
        newest = self.configurations[-1][0].configuration
        return sum(
            context.configuration is newest
            for rank, context in enumerate(self.contexts)
            if rank not in self.exited
        )

    def changes_after(self, revision: int) -> tuple[Fact, ...]:
        """Return the changes after a revision."""
        return tuple(each for each in self._changes if each.revision > revision)

    def fall_silent(self) -> None:
        """Let the store answer nothing until `silent` is reset."""
        self.silent = True
        self.silences += 1

    def silence_connections(self) -> None:
        """Let all open connections to the store fall silent for good."""
        self.silences += 1
        self._silent_connections = {
            rank
            for rank, discovery in enumerate(self.discoveries)
            if not discovery.calls.in_flight
        }

    def take_silent_connection(self, rank: int) -> bool:
        """Tell whether a host's next call uses a silent connection."""
        used = rank in self._silent_connections
        self._silent_connections.discard(rank)
        return used

    def count_call(self) -> None:
        """Record a call to the store."""
        self.calls.append(self.clock.now_s)

    def calls_within(self, duration_s: float) -> int:
        """Run for a duration and return the calls made in it."""
        before = len(self.calls)
        self.clock.run(duration_s)
        return len(self.calls) - before

    def knowing(self) -> int:
        """Return how many hosts know the newest revision."""
        newest = Position(self.era, self.revision)
        return sum(each.position == newest for each in self.discoveries)

    def _add_host(self, rank: int, hosts: int, bounds: Bounds) -> None:
        context = self._build_context(bounds)
        discovery = Discovery(
            context,
            VirtualRegistry(self, rank),
            SimpleNamespace(
                apply=lambda fact: None,
                begin_history=lambda era: None,
            ),
            lambda fact: None,
            lambda: None,
            lambda: self._find_zone_rank(rank, hosts),
        )
        self.contexts.append(context)
        self.discoveries.append(discovery)
        discovery.on_regained = lambda: self._publish(rank)
        self.clock.call_after(self._random.uniform(0, 0.3), discovery.start)
        self._publish_later(rank)

    def _find_zone_rank(self, rank: int, hosts: int) -> ZoneRank:
        lower = sum(each < rank for each in self.exited)
        return ZoneRank(rank - lower, hosts - len(self.exited))

    def _build_context(self, bounds: Bounds) -> SimpleNamespace:
        clock = self.clock

        def call_after(
            delay_s: float,
            callback: Callable[[], None],
        ) -> CancellableCall:
            scheduled = CancellableCall(callback)
            clock.call_after(delay_s, scheduled.run)
            return scheduled

        log = SimpleNamespace(emit=lambda event: None, warn=lambda event: None)
        context = SimpleNamespace(
            configuration=None,
            settings=SimpleNamespace(
                bounds=bounds, first_start=False, host='host'
            ),
            environment=SimpleNamespace(random=self._random),
            loop=SimpleNamespace(
                scheduler=SimpleNamespace(call_after=call_after),
            ),
            metrics=GatewayMetrics(),
            log=log,
            engines=EngineTable(),
            suspect_parts=SuspectParts(),
            evacuations=EvacuationState(),
            registry_confirmed_s=clock.now_s,
            client=SimpleNamespace(close_idle_to=lambda address: None),
            now_s=clock.read_s,
        )

        def apply_configuration(configuration: GatewayConfiguration) -> None:
            context.configuration = configuration

        context.apply_configuration = apply_configuration
        return context

    def _publish_later(self, rank: int) -> None:
        delay_s = PUBLISH_PERIOD_S * self._random.uniform(0.95, 1.05)

        def publish() -> None:
            self._publish(rank)
            self._publish_later(rank)

        self.clock.call_after(delay_s, publish)

    def _publish(self, rank: int) -> None:
        others = [
            discovery
            for other, discovery in enumerate(self.discoveries)
            if other != rank
        ]
        age_ms = self.discoveries[rank].contact.find_answer_age_ms()
        if age_ms is not None and self.tells_age:
            self.clock.call_after(
                MESSAGE_S,
                lambda: [each.contact.record_served(age_ms) for each in others],
            )
        self._publish_evacuations(rank, others)
        message = self.discoveries[rank].build_update()
        if message is None or not self.connected or rank in self.exited:
            return

        def deliver() -> None:
            for discovery in others:
                if discovery.apply_update(message):
                    self._ask(discovery, self.discoveries[rank])

        self.clock.call_after(MESSAGE_S, deliver)

    def _publish_evacuations(self, rank: int, others: list[Discovery]) -> None:
        report = self.discoveries[rank].evacuations.build_report()
        if report is None:
            return
        for each in others:
            self.clock.call_after(
                MESSAGE_S,
                partial(each.evacuations.apply_report, f'host-{rank}', report),
            )

    def _ask(self, behind: Discovery, publisher: Discovery) -> None:
        def answer() -> None:
            message = publisher.build_answer(behind.build_query())
            if message is not None:
                self.sent_changes += len(message.facts)
                behind.apply_update(message)

        self.clock.call_after(2 * MESSAGE_S, answer)
