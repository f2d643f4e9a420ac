"""Apply what the store says to this host.

Load pattern: the store was away, and some engines could not renew their
entries. Engines missing just after an outage get time to be listed again before
they are dropped, and the configuration never returns to an older version.

A store that was restored from a copy lacks the latest changes, and lists what
has left since. What is in force stays until newer state is written: hosts get
time to be listed again, prompt parts are listed again by the hosts, and engines
that had left are held back until their entries would have lapsed.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engine_events import EngineMissing
from bamboodeck.gateway.events import (
    ConfigurationApplied,
    ConfigurationIgnored,
    DocumentSkipped,
    EngineGone,
    EngineHeldBack,
    EngineListed,
)
from bamboodeck.gateway.model import EngineEntry, EngineState
from bamboodeck.gateway.ports import (
    ConfigurationListed,
    EngineSeen,
    EngineUnlisted,
    Fact,
    PartListed,
    PartUnlisted,
    PeerListed,
    PeerUnlisted,
    RolloutOrdered,
    RolloutStatusListed,
    RolloutStepListed,
    Unreadable,
)
from bamboodeck.gateway.rollout_coordinator import RolloutCoordinator
from bamboodeck.gateway.suspect_parts import SuspectParts

# Running engines are listed again about two seconds after an outage.
RELIST_S = 2.5
# Hosts learn of the return by their next call, and then list themselves again.
RELIST_HOSTS_S = 10.0
# An engine's entry lapses after three heartbeats of silence; one that outlasts
# them belongs to an engine that lives.
LAPSE_HEARTBEATS = 4
# Engines that left are remembered for longer than copies are old.
REMEMBER_LEFT_S = 120.0
MAX_LEFT = 1000


class _LeftEngine(msgspec.Struct, frozen=True):
    started_unix_ms: int
    left_s: float


class KnownState:
    """Hold what is in force on this host."""

    def __init__(
        self,
        context: GatewayContext,
        rollouts: RolloutCoordinator,
        on_peer: Callable[[PeerListed | PeerUnlisted], None],
        on_configuration: Callable[[], None],
    ) -> None:
        """Start without known state."""
        self.configuration_revision = 0
        # Until when missing engines may be listed again.
        self.relist_until_s = 0.0
        self._context = context
        self._rollouts = rollouts
        self._on_peer = on_peer
        self._on_configuration = on_configuration
        self.hosts: set[str] = set()
        self._missing: dict[str, EngineUnlisted] = {}
        # The engines that have left, and when.
        self._left: OrderedDict[str, _LeftEngine] = OrderedDict()
        self._held_back: dict[str, EngineSeen] = {}

    @property
    def relist_left_s(self) -> float:
        """Return how long missing engines may still be listed again."""
        return max(self.relist_until_s - self._context.now_s(), 0.0)

    def expect_relisting(self, outage_ended_s: float) -> None:
        """Give engines missing after an outage time to be listed again."""
        self.relist_until_s = max(
            self.relist_until_s,
            outage_ended_s + RELIST_S,
        )

    def begin_history(self, facts: Iterable[Fact], era: int) -> None:
        """Apply a snapshot of a store that was restored from a copy."""
        facts = tuple(facts)
        self.configuration_revision = 0
        self.expect_relisting(self._context.now_s())
        self._rollouts.begin_history(era)
        parts = {fact.part_id for fact in facts if isinstance(fact, PartListed)}
        suspects = self._context.suspect_parts
        suspects.lost |= suspects.listed - parts
        gone = [
            fact
            for fact in self.list_gone(facts, 0)
            if not isinstance(fact, PartUnlisted)
        ]
        for fact in (*facts, *gone):
            match fact:
                case EngineSeen() if self._has_left(fact):
                    self._hold_back(fact)
                case PeerUnlisted(host=host):
                    self._expect_host(fact, host)
                case _:
                    self._apply_one(fact)
        own = self._context.settings.host
        if own not in self.hosts:
            # Its entry may have been written, and not been read yet.
            self._on_peer(PeerUnlisted(own, 0))

    def list_gone(
        self,
        facts: Iterable[Fact],
        revision: int,
    ) -> list[Fact]:
        """Return what is known, but missing from a snapshot."""
        engine_ids = set()
        hosts = set()
        parts = set()
        for fact in facts:
            match fact:
                case EngineSeen(entry=entry):
                    engine_ids.add(entry.engine_id)
                case PeerListed(host=host):
                    hosts.add(host)
                case PartListed(part_id=part_id):
                    parts.add(part_id)
        gone: list[Fact] = [
            EngineUnlisted(engine.entry.engine_id, 'not listed', revision)
            for engine in self._context.engines
            if engine.entry.engine_id not in engine_ids and not engine.unlisted
        ]
        gone.extend(PeerUnlisted(host, revision) for host in self.hosts - hosts)
        gone.extend(
            PartUnlisted(part_id, revision)
            for part_id in self._context.suspect_parts.listed - parts
        )
        return gone

    def apply(self, facts: Iterable[Fact]) -> None:
        """Apply facts in the order of their revisions."""
        for fact in facts:
            self._apply_one(fact)

    def _apply_one(self, fact: Fact) -> None:
        match fact:
            case ConfigurationListed():
                self._apply_configuration(fact)
            case EngineSeen():
                self._upsert_engine(fact)
            case EngineUnlisted():
                self._unlist_engine(fact)
            case RolloutOrdered() | RolloutStatusListed() | RolloutStepListed():
                self._rollouts.apply(fact)
            case PeerListed() | PeerUnlisted():
                self._apply_peer(fact)
            case PartListed() | PartUnlisted():
                _apply_part(self._context.suspect_parts, fact)
            case Unreadable(key=key, reason=reason, revision=revision):
                self._context.metrics.count('document_skipped')
                self._context.log.warn(DocumentSkipped(key, revision, reason))

    def _remember_left(self, entry: EngineEntry) -> None:
        self._left[entry.engine_id] = _LeftEngine(
            entry.started_unix_ms,
            self._context.now_s(),
        )
        if len(self._left) > MAX_LEFT:
            self._left.popitem(last=False)

    def _apply_peer(self, fact: PeerListed | PeerUnlisted) -> None:
        match fact:
            case PeerListed(host=host):
                self.hosts.add(host)
            case PeerUnlisted(host=host):
                self.hosts.discard(host)
        self._on_peer(fact)

    def _apply_configuration(self, fact: ConfigurationListed) -> None:
        self.configuration_revision = max(
            self.configuration_revision,
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

    def _has_left(self, fact: EngineSeen) -> bool:
        left = self._left.get(fact.entry.engine_id)
        if left is None or fact.entry.started_unix_ms > left.started_unix_ms:
            return False
        return self._context.now_s() - left.left_s < REMEMBER_LEFT_S

    def _hold_back(self, fact: EngineSeen) -> None:
        engine_id = fact.entry.engine_id
        self._held_back[engine_id] = fact
        self._context.log.warn(
            EngineHeldBack(
                engine_id,
                fact.revision,
                self._context.now_s() - self._left[engine_id].left_s,
            ),
        )

        def release() -> None:
            if self._held_back.get(engine_id) is fact:
                self._upsert_engine(fact)

        self._context.loop.scheduler.call_after(
            LAPSE_HEARTBEATS * self._context.settings.bounds.heartbeat_s,
            release,
        )

    def _expect_host(self, fact: PeerUnlisted, host: str) -> None:
        self.hosts.discard(host)
        if host == self._context.settings.host:
            return

        def drop() -> None:
            if host not in self.hosts:
                self._on_peer(fact)

        self._context.loop.scheduler.call_after(RELIST_HOSTS_S, drop)

    def _upsert_engine(self, fact: EngineSeen) -> None:
        entry = fact.entry
        self._missing.pop(entry.engine_id, None)
        self._held_back.pop(entry.engine_id, None)
        self._left.pop(entry.engine_id, None)
        if not self._context.engines.upsert(entry):
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

    def _unlist_engine(self, fact: EngineUnlisted) -> None:
        self._held_back.pop(fact.engine_id, None)
        left_s = self.relist_left_s
        if not left_s:
            self._drop(fact)
            return
        if fact.engine_id in self._missing:
            return
        self._missing[fact.engine_id] = fact
        self._context.log.emit(
            EngineMissing(fact.engine_id, fact.reason, fact.revision, left_s),
        )
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
        self._remember_left(engine.entry)
        self._context.client.close_idle_to(engine.entry.address)
        self._context.engines.remove_unlisted()
        self._context.log.emit(
            EngineGone(fact.engine_id, fact.reason, fact.revision),
        )


def _apply_part(
    suspects: SuspectParts,
    fact: PartListed | PartUnlisted,
) -> None:
    match fact:
        case PartListed(part_id=part_id):
            suspects.add_listed(part_id)
        case PartUnlisted(part_id=part_id):
            suspects.drop_listed(part_id)
