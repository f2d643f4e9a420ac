"""Follow what the store lists, through outages, without going back.

Load pattern: the store is down, slow, forgetful or cut off for some hosts.
What is known stays in force meanwhile. Engines that are missing just after an
outage get time to return before they count as gone. In larger zones most of
the changes come as news of a neighbour.
"""

from collections.abc import Callable, Iterable

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.events import (
    ConfigurationApplied,
    ConfigurationIgnored,
    DocumentSkipped,
    EngineGone,
    EngineListed,
    StoreLost,
    StoreRegained,
)
from bamboodeck.gateway.following import (
    ChangeLog,
    Known,
    Schedule,
    ZonePlace,
    find_schedule,
)
from bamboodeck.gateway.model import EngineState
from bamboodeck.gateway.news import StoreNews
from bamboodeck.gateway.ports import (
    ConfigurationListed,
    EngineSeen,
    EngineUnlisted,
    Fact,
    HistoryLost,
    PeerListed,
    PeerUnlisted,
    Registry,
    RegistryFailed,
    RegistryReply,
    RolloutOrdered,
    RolloutStatusListed,
    RolloutStepListed,
    Snapshot,
    Unreadable,
    Update,
)
from bamboodeck.gateway.rollout_guide import RolloutGuide
from bamboodeck.loop.scheduler import ScheduledCall

# Calls to a store that doesn't answer, the first soon, the others bounded.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
# ... and of a host that a neighbour tells when the store is back.
LONGEST_TOLD_RETRY_S = 2.5
# Engines that live are listed again about two seconds after an outage.
RELIST_S = 2.5

_MILLISECONDS_PER_S = 1000


class Discovery:
    """Read all that is listed, then follow its changes."""

    def __init__(
        self,
        context: GatewayContext,
        registry: Registry,
        guide: RolloutGuide,
        on_peer: Callable[[PeerListed | PeerUnlisted], None],
        on_configuration: Callable[[], None],
        find_place: Callable[[], ZonePlace],
    ) -> None:
        """Know nothing yet.

        `find_place` tells this host's place in its zone.
        """
        self.revision = 0
        self.complete = False
        self._context = context
        self._registry = registry
        self._guide = guide
        self._on_peer = on_peer
        self._on_configuration = on_configuration
        self._find_place = find_place
        self._changes = ChangeLog()
        self._hosts: set[str] = set()
        self._configuration_revision = 0
        # When the store itself has answered last, and whether a call runs.
        self._answered_s = 0.0
        self._asking = False
        self._timer: ScheduledCall | None = None
        self._lost_since_s: float | None = None
        self._relist_until_s = 0.0
        self._retry_s = FIRST_RETRY_S
        self._missing: dict[str, EngineUnlisted] = {}

    def start(self) -> None:
        """Read all that is listed, then what has changed since."""
        self._asking = True
        self._registry.read_all(self._take_first, stale=True)

    def tell(self) -> StoreNews | None:
        """Return the news for the zone, if this host asks for it."""
        schedule = self._schedule()
        now_s = self._context.now_s()
        # A host that was told by others has nothing newer to tell.
        recent = now_s - self._answered_s <= 2 * schedule.wait_s
        if not (schedule.tells and self.complete and recent):
            return None
        return self._changes.tell(
            Known(
                self.revision,
                self._configuration_revision,
                self._answered_s,
                self._relist_until_s,
            ),
            now_s,
        )

    def take_news(self, news: StoreNews) -> None:
        """Follow what a host of the zone has learned from the store."""
        if not self.complete or news.revision < self.revision:
            return
        if news.after_revision > self.revision:
            self._ask()
            return
        if news.configuration_revision > self._configuration_revision:
            self._read_configuration(news.configuration_revision)
            return
        now_s = self._context.now_s()
        if self._lost_since_s is not None:
            self._regain(news.revision)
        self._relist_until_s = max(
            self._relist_until_s,
            now_s + news.relist_ms / _MILLISECONDS_PER_S,
        )
        if news.revision > self.revision:
            self._take_changes(news.facts, news.revision)
        self._context.registry_heard_s = max(
            self._context.registry_heard_s,
            now_s - news.age_ms / _MILLISECONDS_PER_S,
        )

    def _take_first(self, reply: RegistryReply) -> None:
        self._asking = False
        match reply:
            case Snapshot(facts=facts, revision=revision):
                if not self.complete:
                    self._take_snapshot(facts, revision)
                self._ask()
            case RegistryFailed(reason=reason):
                self._lose(reason)

    def _read_configuration(self, wanted_revision: int) -> None:
        if self._asking:
            return

        def take(reply: RegistryReply) -> None:
            self._asking = False
            if isinstance(reply, Snapshot):
                self._apply(reply.facts)
            if self._configuration_revision < wanted_revision:
                # What was read is older than what a neighbour knows.
                self._ask()

        self._asking = True
        self._registry.read_configuration(take)

    def _take(self, reply: RegistryReply) -> None:
        self._asking = False
        match reply:
            case Snapshot(facts=facts, revision=revision):
                self._note_answer(revision)
                # An answer older than what is known would turn back time.
                if revision >= self.revision:
                    self._take_snapshot(facts, revision)
                self._call_in(0)
            case Update(facts=facts, revision=revision):
                self._note_answer(revision)
                if revision > self.revision:
                    self._take_changes(facts, revision)
                self._call_in(self._schedule().pause_s if facts else 0)
            case HistoryLost():
                self._context.metrics.count('history_lost')
                self._asking = True
                self._registry.read_all(self._take)
            case RegistryFailed(reason=reason):
                self._lose(reason)

    def _schedule(self) -> Schedule:
        return find_schedule(
            self._find_place(),
            self._context.settings.bounds,
        )

    def _call_in(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._context.loop.scheduler.call_after(
            delay_s,
            self._follow,
        )

    def _follow(self) -> None:
        schedule = self._schedule()
        due_s = self._context.registry_heard_s + schedule.patience_s
        left_s = due_s - self._context.now_s()
        if left_s > 0 and self._lost_since_s is None:
            self._call_in(left_s)
            return
        self._ask()

    def _ask(self) -> None:
        if self._asking:
            return
        if not self.complete:
            self.start()
            return
        self._asking = True
        self._registry.wait_for_changes(
            self.revision,
            self._schedule().wait_s,
            self._take,
        )

    def _note_answer(self, revision: int) -> None:
        now_s = self._context.now_s()
        self._context.registry_heard_s = now_s
        self._answered_s = now_s
        self._regain(revision)

    def _take_changes(self, facts: Iterable[Fact], revision: int) -> None:
        newer = [fact for fact in facts if fact.revision > self.revision]
        if self.complete:
            now_s = self._context.now_s()
            self._changes.note(self.revision, newer, now_s)
        self._apply(newer)
        self.revision = revision

    def _lose(self, reason: str) -> None:
        now_s = self._context.now_s()
        if self._lost_since_s is None:
            self._lost_since_s = now_s
            self._context.metrics.count('store_lost')
            self._context.log.warn(
                StoreLost(
                    reason,
                    self.revision,
                    now_s - self._context.registry_heard_s,
                ),
            )
        spread = 0.5 + self._context.environment.random.random()
        delay_s = self._retry_s * spread
        longest_s = LONGEST_RETRY_S
        if self._schedule().patience_s:
            longest_s = LONGEST_TOLD_RETRY_S
        self._retry_s = min(self._retry_s * 2, longest_s)
        self._call_in(delay_s)

    def _regain(self, revision: int) -> None:
        self._retry_s = FIRST_RETRY_S
        if self._lost_since_s is None:
            return
        now_s = self._context.now_s()
        away_s = now_s - self._lost_since_s
        self._lost_since_s = None
        if self.complete:
            self._relist_until_s = now_s + RELIST_S
        self._context.log.emit(StoreRegained(revision, away_s))

    def _take_snapshot(self, facts: tuple[Fact, ...], revision: int) -> None:
        engine_ids = {
            fact.entry.engine_id
            for fact in facts
            if isinstance(fact, EngineSeen)
        }
        hosts = {fact.host for fact in facts if isinstance(fact, PeerListed)}
        gone: list[Fact] = [
            EngineUnlisted(engine.entry.engine_id, 'not listed', revision)
            for engine in self._context.engines
            if engine.entry.engine_id not in engine_ids and not engine.unlisted
        ]
        gone.extend(
            PeerUnlisted(host, revision) for host in self._hosts - hosts
        )
        self._take_changes((*facts, *gone), revision)
        self.complete = True

    def _apply(self, facts: Iterable[Fact]) -> None:
        for fact in facts:
            self._apply_one(fact)

    def _apply_one(self, fact: Fact) -> None:
        match fact:
            case ConfigurationListed():
                self._apply_configuration(fact)
            case EngineSeen():
                self._list(fact)
            case EngineUnlisted():
                self._unlist(fact)
            case RolloutOrdered() | RolloutStatusListed() | RolloutStepListed():
                self._guide.take(fact)
            case PeerListed(host=host):
                self._hosts.add(host)
                self._on_peer(fact)
            case PeerUnlisted(host=host):
                self._hosts.discard(host)
                self._on_peer(fact)
            case Unreadable(key=key, reason=reason, revision=revision):
                self._context.metrics.count('document_skipped')
                self._context.log.warn(DocumentSkipped(key, revision, reason))

    def _apply_configuration(self, fact: ConfigurationListed) -> None:
        self._configuration_revision = max(
            self._configuration_revision,
            fact.revision,
        )
        configuration = fact.configuration
        in_force = self._context.configuration
        if in_force is not None and configuration.version <= in_force.version:
            if configuration.version < in_force.version:
                self._context.log.warn(
                    ConfigurationIgnored(
                        configuration.version,
                        in_force.version,
                        fact.revision,
                    ),
                )
            return
        self._context.apply_configuration(configuration)
        self._context.log.emit(
            ConfigurationApplied(
                configuration.version,
                fact.revision,
                len(configuration.routes),
                len(configuration.services),
                len(configuration.customers_by_key or ()),
            ),
        )
        self._on_configuration()

    def _list(self, fact: EngineSeen) -> None:
        entry = fact.entry
        self._missing.pop(entry.engine_id, None)
        if not self._context.engines.list(entry):
            return
        self._context.log.emit(
            EngineListed(
                entry.engine_id,
                entry.service,
                str(entry.address),
                entry.zone,
                entry.version,
                entry.state.value,
                entry.started_unix_ms,
                fact.revision,
            ),
        )
        if entry.state is EngineState.DRAINING:
            self._context.client.close_idle_to(entry.address)

    def _unlist(self, fact: EngineUnlisted) -> None:
        left_s = self._relist_until_s - self._context.now_s()
        if left_s <= 0:
            self._drop(fact)
            return
        if fact.engine_id not in self._missing:
            self._missing[fact.engine_id] = fact
            self._context.loop.scheduler.call_after(
                left_s,
                lambda: self._drop_missing(fact),
            )

    def _drop_missing(self, fact: EngineUnlisted) -> None:
        if self._missing.pop(fact.engine_id, None) is not None:
            self._drop(fact)

    def _drop(self, fact: EngineUnlisted) -> None:
        if not self._context.engines.unlist(fact.engine_id):
            return
        engine = self._context.engines.find(fact.engine_id)
        self._context.client.close_idle_to(engine.entry.address)
        self._context.engines.forget_unlisted()
        self._context.log.emit(
            EngineGone(fact.engine_id, fact.reason, fact.revision),
        )
