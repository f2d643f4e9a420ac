"""Follow what the store lists, through outages, without going back.

Load pattern: the store is down, slow, forgetful or cut off for some hosts.
What is known stays in force meanwhile. Engines that are missing just after an
outage get time to return before they count as gone.
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
from bamboodeck.gateway.model import EngineState
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

# A store that went silent forgets the calls that wait. Each is given up within
# the time after which a host has to follow the store again.
ANSWER_SLACK_S = 1.0
SHORTEST_WAIT_S = 1.0
# Changes that follow each other are read together, since each call is paid for.
# The news may then be late by this part of the time that it has.
COALESCE_PART = 0.4
# Calls to a store that doesn't answer, the first soon, the others bounded.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
# Engines that live are listed again about two seconds after an outage.
RELIST_S = 2.5


class Discovery:
    """Read all that is listed, then follow its changes."""

    def __init__(
        self,
        context: GatewayContext,
        registry: Registry,
        guide: RolloutGuide,
        on_peer: Callable[[PeerListed | PeerUnlisted], None],
        on_configuration: Callable[[], None],
    ) -> None:
        """Know nothing yet."""
        self.revision = 0
        self.complete = False
        self._context = context
        self._registry = registry
        self._guide = guide
        self._on_peer = on_peer
        self._on_configuration = on_configuration
        self._lost_since_s: float | None = None
        self._relist_until_s = 0.0
        self._retry_s = FIRST_RETRY_S
        self._missing: dict[str, EngineUnlisted] = {}

    def start(self) -> None:
        """Read all that is listed."""
        self._registry.read_all(self._take)

    def _take(self, reply: RegistryReply) -> None:
        match reply:
            case Snapshot(facts=facts, revision=revision):
                self._regain(revision)
                # An answer older than what is known would turn back time.
                if revision >= self.revision:
                    self._take_snapshot(facts, revision)
                self._follow()
            case Update(facts=facts, revision=revision):
                self._regain(revision)
                self._apply(facts)
                self.revision = max(self.revision, revision)
                self._context.loop.scheduler.call_after(
                    self._coalesce_s() if facts else 0,
                    self._follow,
                )
            case HistoryLost():
                self._context.metrics.count('history_lost')
                self.start()
            case RegistryFailed(reason=reason):
                self._lose(reason)

    def _coalesce_s(self) -> float:
        bounds = self._context.settings.bounds
        return COALESCE_PART * min(bounds.drain_s, bounds.configuration_s)

    def _follow(self) -> None:
        stability_s = self._context.settings.bounds.stability_s
        wait_s = max(stability_s - ANSWER_SLACK_S, SHORTEST_WAIT_S)
        self._registry.wait_for_changes(self.revision, wait_s, self._take)

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
        self._retry_s = min(self._retry_s * 2, LONGEST_RETRY_S)
        again = self._follow if self.complete else self.start
        self._context.loop.scheduler.call_after(delay_s, again)

    def _regain(self, revision: int) -> None:
        now_s = self._context.now_s()
        self._context.registry_heard_s = now_s
        self._retry_s = FIRST_RETRY_S
        if self._lost_since_s is None:
            return
        away_s = now_s - self._lost_since_s
        self._lost_since_s = None
        if self.complete:
            self._relist_until_s = now_s + RELIST_S
        self._context.log.emit(StoreRegained(revision, away_s))

    def _take_snapshot(self, facts: tuple[Fact, ...], revision: int) -> None:
        listed = {
            fact.entry.engine_id
            for fact in facts
            if isinstance(fact, EngineSeen)
        }
        self._apply(facts)
        for engine in tuple(self._context.engines):
            engine_id = engine.entry.engine_id
            if engine_id not in listed:
                self._unlist(EngineUnlisted(engine_id, 'not listed', revision))
        self.revision = revision
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
            case PeerListed() | PeerUnlisted():
                self._on_peer(fact)
            case Unreadable(key=key, reason=reason, revision=revision):
                self._context.metrics.count('document_skipped')
                self._context.log.warn(DocumentSkipped(key, revision, reason))

    def _apply_configuration(self, fact: ConfigurationListed) -> None:
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
