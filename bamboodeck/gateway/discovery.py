"""Follow the store through outages, without applying older state.

Load pattern: the store is down, slow, has lost its history, or is unreachable
for some hosts. The known state stays in force meanwhile. In larger zones most
changes arrive as updates of another host. A store that was restored from a copy
gives out revisions again, so a position in its history has an era too; what the
new history holds is read as a whole.
"""

import math
from collections.abc import Callable, Iterable

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.events import (
    StoreAnswerIgnored,
    StoreCallFailed,
    StoreHistoryLost,
    StoreLost,
    StoreRegained,
    StoreRestored,
)
from bamboodeck.gateway.known_state import RELIST_S, KnownState
from bamboodeck.gateway.peer_messages import StoreQuery, StoreUpdate
from bamboodeck.gateway.places.evacuation_tracker import EvacuationTracker
from bamboodeck.gateway.ports import (
    Fact,
    HistoryLost,
    PeerListed,
    PeerUnlisted,
    Position,
    Registry,
    RegistryFailed,
    RegistryReply,
    Snapshot,
    Update,
)
from bamboodeck.gateway.rollout_coordinator import RolloutCoordinator
from bamboodeck.gateway.store_calls import StoreCalls
from bamboodeck.gateway.store_contact import StoreContact
from bamboodeck.gateway.store_polling import (
    CATCH_UP_S,
    RELIST_PAUSE_S,
    SECOND_STALENESS_FRACTION,
    ChangeLog,
    PollSchedule,
    StoreView,
    ZoneRank,
    build_schedule,
)
from bamboodeck.loop.scheduler import ScheduledCall

# The delay after a failed call depends on the live hosts of the zone, so it is
# checked again this often.
RECHECK_S = 0.5
# Stale reads may be this old.
STALE_READ_S = 10.0

_MILLISECONDS_PER_S = 1000


class Discovery:
    """Read a snapshot of the store, then follow its changes."""

    def __init__(
        self,
        context: GatewayContext,
        registry: Registry,
        rollouts: RolloutCoordinator,
        on_peer: Callable[[PeerListed | PeerUnlisted], None],
        on_configuration: Callable[[], None],
        find_zone_rank: Callable[[], ZoneRank],
    ) -> None:
        """Start without known state.

        `find_zone_rank` returns this host's rank in its zone.
        """
        self.position = Position()
        self.complete = False
        # Publishes an update to the zone at once.
        self.on_regained: Callable[[], None] | None = None
        self._context = context
        self._registry = registry
        self._rollouts = rollouts
        self._known = KnownState(context, rollouts, on_peer, on_configuration)
        self.evacuations = EvacuationTracker(context)
        self._find_zone_rank = find_zone_rank
        self.calls = StoreCalls()
        self._changes = ChangeLog()
        self.contact = StoreContact(context)
        self._timer: ScheduledCall | None = None
        self._lost_since_s: float | None = None
        self._behind_since_s: float | None = None
        # When this host last asked its zone for changes.
        self._asked_s = -math.inf
        # When the store last answered another host of the zone.
        self._zone_confirmed_s = -math.inf
        self._restored_s = -math.inf

    @property
    def revision(self) -> int:
        """Return the revision up to which this host knows the store."""
        return self.position.revision

    def start(self) -> None:
        """Read a snapshot, then poll for changes."""
        self._schedule_poll(RECHECK_S)
        self.calls.send(
            self._context.now_s(),
            lambda on_reply: self._registry.read_all(
                on_reply,
                # A stale read may list what was withdrawn before a restart.
                stale=self._context.settings.first_start,
            ),
            self._on_first_reply,
        )

    def build_update(self) -> StoreUpdate | None:
        """Return the update for the zone, if this host polls for it."""
        schedule = self._schedule()
        now_s = self._context.now_s()
        # A host that relies on updates of others has nothing newer to publish.
        if not (schedule.publish_s and self.complete):
            return None
        if now_s - self.calls.last_reply_s > schedule.publish_s:
            return None
        return self._changes.build_update(self._view(), now_s)

    def build_query(self) -> StoreQuery:
        """Return the question for the changes that this host lacks."""
        return StoreQuery(self.position.revision, self.position.era)

    def build_answer(self, query: StoreQuery) -> StoreUpdate | None:
        """Return the changes that a host of the zone asks for, if kept."""
        if query.era != self.position.era:
            return None
        return self._changes.build_answer(
            self._view(),
            query.after_revision,
            self._context.now_s(),
        )

    def apply_update(self, message: StoreUpdate) -> bool:
        """Apply the changes that a host of the zone read from the store.

        Return whether this host should ask for earlier changes.
        """
        if message.era < self.position.era:
            # The neighbour doesn't know yet that the store was restored.
            return False
        self._record_zone_confirmed(message)
        if self.complete and message.era > self.position.era:
            if self._may_ask_for_news():
                self._read_snapshot()
            return False
        return self._apply_same_era(message)

    def _record_zone_confirmed(self, message: StoreUpdate) -> None:
        # Counts also if this host can't follow yet.
        age_s = message.age_ms / _MILLISECONDS_PER_S
        self.contact.record_served(message.age_ms)
        self._zone_confirmed_s = max(
            self._zone_confirmed_s,
            self._context.now_s() - age_s,
        )

    def _apply_same_era(self, message: StoreUpdate) -> bool:
        now_s = self._context.now_s()
        if not self.complete or message.revision < self.revision:
            return False
        known_revision = self._known.configuration_revision
        if message.configuration_revision > known_revision:
            self._read_configuration(message.configuration_revision)
        if message.after_revision > self.revision:
            if self._behind_since_s is None:
                self._behind_since_s = now_s
            late = now_s - self._behind_since_s > CATCH_UP_S
            if late and self._may_ask_for_news():
                self._poll()
            return self._should_ask_zone(message, now_s)
        self._behind_since_s = None
        if message.configuration_revision <= known_revision:
            self._apply_news(message, now_s)
        return False

    def _should_ask_zone(self, message: StoreUpdate, now_s: float) -> bool:
        # Changes can't be applied before the configuration of their revision,
        # and each answer loads the publisher's link.
        if message.configuration_revision > self._known.configuration_revision:
            return False
        if now_s - self._asked_s < CATCH_UP_S:
            return False
        self._asked_s = now_s
        return True

    def _apply_news(self, message: StoreUpdate, now_s: float) -> None:
        if self._lost_since_s is not None:
            self._on_store_regained(message.revision)
        if self.contact.outage_ended_s > now_s - RELIST_S:
            self._known.relist_until_s = max(
                self._known.relist_until_s,
                now_s + message.relist_ms / _MILLISECONDS_PER_S,
            )
        if message.revision > self.revision:
            self._apply_changes(message.facts, message.revision)
        self._context.registry_confirmed_s = max(
            self._context.registry_confirmed_s,
            now_s - message.age_ms / _MILLISECONDS_PER_S,
        )

    def _view(self) -> StoreView:
        return StoreView(
            self.position,
            self._known.configuration_revision,
            self.calls.last_reply_s,
            self._known.relist_until_s,
        )

    def _may_ask_for_news(self) -> bool:
        # A neighbour has news, so the store serves at least some hosts.
        retry_s = self.calls.find_retry_s(
            self._find_zone_rank(),
            zone_served=True,
        )
        return not self.calls.failures or self._context.now_s() >= retry_s

    def _on_first_reply(self, reply: RegistryReply) -> None:
        match reply:
            case Snapshot():
                self.contact.record_answer()
                if not self.complete:
                    self._apply_snapshot(reply)
                self._poll()
            case RegistryFailed(reason=reason):
                self._on_store_lost(reason)

    def _read_configuration(self, wanted_revision: int) -> None:
        # A store that refuses this host may still answer stale reads, so they
        # don't wait for the delay after a failed poll.
        if self.calls.in_flight:
            return
        if self._context.now_s() - self._restored_s < STALE_READ_S:
            # A stale read may show the history before the restore.
            if self._may_ask_for_news():
                self._poll()
            return

        def on_reply(reply: RegistryReply) -> None:
            match reply:
                case Snapshot(facts=facts):
                    self._known.apply(facts)
                case RegistryFailed(reason=reason):
                    self._on_store_lost(reason)
                    return
            if self.calls.poll_postponed:
                self._schedule_poll(0)
            too_old = self._known.configuration_revision < wanted_revision
            if too_old and self._may_ask_for_news():
                self._poll()

        self.calls.send(
            self._context.now_s(),
            self._registry.read_configuration,
            on_reply,
        )

    def _on_reply(self, reply: RegistryReply) -> None:
        was_stale = self._is_staler_than(SECOND_STALENESS_FRACTION)
        self._handle_reply(reply)
        if (
            was_stale
            and not self.calls.failures
            and self.on_regained is not None
        ):
            self.on_regained()

    def _handle_reply(self, reply: RegistryReply) -> None:
        match reply:
            case Snapshot(revision=revision, era=era):
                if Position(era, revision) < self.position:
                    self._ignore(reply)
                    return
                self._record_reply(revision)
                self._apply_snapshot(reply)
                self._schedule_poll(0)
            case Update(era=era) if era > self.position.era:
                # Changes of the new history may be missing in between.
                self._read_snapshot()
            case Update(era=era) if era < self.position.era:
                self._ignore(reply)
            case Update(facts=facts, revision=revision):
                self._record_reply(revision)
                if revision > self.revision:
                    self._apply_changes(facts, revision)
                self._schedule_poll(self._find_pause_s() if facts else 0)
            case HistoryLost(era=era, too_large=too_large):
                self._context.metrics.count('history_lost')
                self._context.log.warn(
                    StoreHistoryLost(self.revision, era, too_large),
                )
                self._read_snapshot()
            case RegistryFailed(reason=reason):
                self._on_store_lost(reason)

    def _ignore(self, reply: Snapshot | Update) -> None:
        self._context.log.warn(
            StoreAnswerIgnored(
                reply.revision,
                reply.era,
                self.position.revision,
                self.position.era,
            ),
        )
        self._on_store_lost('the answer is older than the known state')

    def _find_pause_s(self) -> float:
        pause_s = self._schedule().pause_s
        if self._known.relist_left_s:
            return min(pause_s, RELIST_PAUSE_S)
        return pause_s

    def _read_snapshot(self) -> None:
        if self.calls.in_flight:
            return
        self.calls.send(
            self._context.now_s(),
            self._registry.read_all,
            self._on_reply,
        )

    def _schedule(self) -> PollSchedule:
        return build_schedule(
            self._find_zone_rank(),
            self._context.settings.bounds,
            self._context.now_s() - self.calls.last_reply_s,
        )

    def _schedule_poll(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._context.loop.scheduler.call_after(
            delay_s,
            self._poll_if_stale,
        )

    def _poll_if_stale(self) -> None:
        # First, as no reply may come that schedules the next poll.
        self._schedule_poll(RECHECK_S)
        now_s = self._context.now_s()
        if self.calls.give_up_overdue(now_s):
            self._on_store_lost('the call has not ended')
            return
        if self.calls.in_flight:
            self.calls.poll_postponed = True
            return
        left_s = self._find_due_s() - now_s
        if left_s > 0:
            self._schedule_poll(min(left_s, RECHECK_S))
            return
        self._poll()

    def _find_due_s(self) -> float:
        schedule = self._schedule()
        stale_s = self._context.registry_confirmed_s + schedule.max_staleness_s
        if not self.calls.failures:
            return stale_s
        zone_served = self._zone_confirmed_s > self.calls.failed_s
        retry_s = self.calls.find_retry_s(
            self._find_zone_rank(),
            zone_served=zone_served,
        )
        return max(retry_s, stale_s) if zone_served else retry_s

    def _poll(self) -> None:
        if self.calls.in_flight:
            return
        if not self.complete:
            self.start()
            return
        self.calls.send(
            self._context.now_s(),
            lambda on_reply: self._registry.wait_for_changes(
                self.revision,
                self._schedule().wait_s,
                on_reply,
            ),
            self._on_reply,
        )

    def _record_reply(self, revision: int) -> None:
        now_s = self._context.now_s()
        self._context.registry_confirmed_s = now_s
        self.calls.record_reply(now_s)
        self.contact.record_answer()
        self._on_store_regained(revision)

    def _is_staler_than(self, fraction: float) -> bool:
        bounds = self._context.settings.bounds
        bound_s = bounds.shortest_s
        age_s = self._context.now_s() - self._context.registry_confirmed_s
        return age_s > fraction * bound_s

    def _apply_changes(self, facts: Iterable[Fact], revision: int) -> None:
        newer = [fact for fact in facts if fact.revision > self.revision]
        if self.complete:
            now_s = self._context.now_s()
            self._changes.record(self.revision, newer, now_s)
        self._known.apply(newer)
        self.evacuations.apply_changes(newer, self.position.era)
        self.position = Position(self.position.era, revision)

    def _on_store_lost(self, reason: str) -> None:
        now_s = self._context.now_s()
        took_s = self.calls.record_failure(
            now_s,
            0.5 + self._context.environment.random.random(),
        )
        # A host that the store refuses may still learn from its zone.
        newly_lost = self.calls.failures == 1 or self._is_staler_than(1.0)
        if self._lost_since_s is None and newly_lost:
            self._lost_since_s = now_s
            self._context.metrics.count('store_lost')
            self._context.log.warn(
                StoreLost(
                    reason,
                    self.revision,
                    now_s - self._context.registry_confirmed_s,
                ),
            )
        self._context.metrics.count('store_call_failed')
        self._context.log.emit(
            StoreCallFailed(
                reason,
                self.calls.failures,
                took_s,
                self._find_due_s() - now_s,
                now_s - self._context.registry_confirmed_s,
            ),
        )
        self._schedule_poll(0)

    def _on_store_regained(self, revision: int) -> None:
        if self._lost_since_s is None:
            return
        now_s = self._context.now_s()
        away_s = now_s - self._lost_since_s
        self._lost_since_s = None
        if self.complete:
            self._known.expect_relisting(self.contact.outage_ended_s)
        self._context.log.emit(
            StoreRegained(revision, away_s, self._known.relist_left_s),
        )

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self.evacuations.apply_snapshot(snapshot)
        if self.complete and snapshot.era > self.position.era:
            self._begin_history(snapshot)
            return
        facts = snapshot.facts
        gone = self._known.list_gone(facts, snapshot.revision)
        if not self.complete:
            self.position = Position(snapshot.era, 0)
            self._rollouts.era = snapshot.era
        self._apply_changes((*facts, *gone), snapshot.revision)
        self.complete = True
        self._rollouts.following = True

    def _begin_history(self, snapshot: Snapshot) -> None:
        self._context.metrics.count('store_restored')
        self._context.log.warn(
            StoreRestored(
                snapshot.era,
                snapshot.revision,
                self.position.era,
                self.position.revision,
            ),
        )
        self._restored_s = self._context.now_s()
        self._behind_since_s = None
        self._changes.clear()
        self._known.begin_history(snapshot.facts, snapshot.era)
        self.position = Position(snapshot.era, snapshot.revision)
