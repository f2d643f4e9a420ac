"""Keep this host within its share of the rates of cold engines.

Load pattern: a zone of engines returns cold, and its entries are rewritten
about once a second while all hosts send to it. What is known of an engine is
brought up to date before each request to it, so that no request is sent by an
entry that has been replaced. Every host works out the same shares.

An engine that starts again under its id takes requests before its entry is read
everywhere. The hosts that it refused while it was down tell the others, so that
those which sent it nothing meanwhile share its rate too when it returns.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engine_events import (
    EngineBecameCold,
    EngineBecameWarm,
    EngineColdUsed,
)
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.limits import NO_SHARE, NamedLimit
from bamboodeck.gateway.membership import Membership
from bamboodeck.gateway.model import (
    Bounds,
    EngineEntry,
    GatewayConfiguration,
)
from bamboodeck.gateway.peer_messages import DownNotice, DownUpdate
from bamboodeck.gateway.places.cold_state import (
    ColdKnowledge,
    ColdRules,
    apply_entry,
    apply_report,
    build_share,
    check_contact,
    choose_sharing,
    count_sharing,
    is_cold,
    order_hosts,
    record_answer,
    record_failure,
)

LOG_PERIOD_S = 4.0
# A lost host may serve on, cut off from the store, so its share isn't given to
# others for this long.
REMEMBER_LOST_S = 120.0
# A lent request has to be sent within this time, which is two sweeps.
LOAN_S = 0.2
# Adds the way of the message to another region.
LEND_PAUSE_S = 0.3
# An entry lapses after three heartbeats without a sign of life, and the store
# may notice a heartbeat later. A host in contact hears from the store sooner.
UNSEEN_HEARTBEATS = 3
LAPSE_HEARTBEATS = 4
# A restored store may list an entry from before the engine became cold; engines
# write theirs anew within a heartbeat, and it is read within another.
REWRITE_HEARTBEATS = 2
# A host tells of an engine that is down unless one was heard to do so within
# this time. Messages may be lost, so each is sent again.
TELL_PERIOD_S = 1.0
TELL_REPEATS = 2
# Bounds a message to what fits a datagram.
MAX_NOTICES = 200

_MILLISECONDS_PER_S = 1000


@dataclass(slots=True)
class _Record:
    engine: Engine
    known: ColdKnowledge
    # The entry that was applied last.
    entry: EngineEntry | None = None
    began_s: float = 0.0
    # When any host last told that the engine was down.
    told_s: float = -math.inf
    # Whether this host sent nothing to the engine lately.
    quiet: bool = True
    # How often the last failure is still to be published.
    repeats: int = 0
    # The number of the list of hosts that the share was worked out from.
    hosts_number: int = 0


class ColdEngines:
    """Track which engines are cold, and this host's shares of them."""

    def __init__(self, context: GatewayContext, members: Membership) -> None:
        """Start without engines."""
        self._context = context
        self._members = members
        self._records: dict[str, _Record] = {}
        # Zones by host, also of the hosts that were lost.
        self._zones: dict[str, str] = {}
        # When each of the missing hosts was lost.
        self._lost_s: dict[str, float] = {}
        self._hosts_number = 0
        self._logged_s = 0.0
        self._rules: dict[str, ColdRules] = {}
        self._rules_of: tuple[GatewayConfiguration | None, Bounds | None] = (
            None,
            None,
        )

    def update(self, engine: Engine) -> None:
        """Bring up to date whether an engine is cold, and its limit."""
        rules = self._find_rules(engine.entry.service)
        if rules is None:
            if engine.cold is not None:
                self._end(engine)
            self._records.pop(engine.entry.engine_id, None)
            return
        now_s = self._context.now_s()
        record = self._find_record(engine)
        known = record.known
        if record.entry is not engine.entry:
            record.entry = engine.entry
            known = apply_entry(known, engine.entry.cold_s, now_s, rules)
        confirmed_s = self._context.registry_confirmed_s
        last_contact_s = max(confirmed_s, engine.last_progress_s)
        known = check_contact(known, last_contact_s, now_s, rules)
        record.known = known
        if is_cold(known, confirmed_s, now_s, rules):
            self._limit(engine, record, rules)
        elif engine.cold is not None:
            self._end(engine)

    def record_failure(self, engine: Engine, *, refused: bool) -> None:
        """Record that an engine may have been, or was, down just now."""
        if self._find_rules(engine.entry.service) is None:
            return
        now_s = self._context.now_s()
        record = self._find_record(engine)
        if refused and now_s - record.told_s >= TELL_PERIOD_S:
            record.told_s = now_s
            record.repeats = TELL_REPEATS
        record.known = record_failure(record.known, now_s)
        self.update(engine)

    def record_answer(self, engine: Engine, began_s: float) -> None:
        """Record an answer to a request that was sent at `began_s`."""
        record = self._records.get(engine.entry.engine_id)
        if record is None or record.engine is not engine:
            return
        record.known = record_answer(
            record.known,
            began_s,
            self._context.now_s(),
        )

    def build_update(self) -> DownUpdate | None:
        """Return what to tell the other hosts now."""
        now_s = self._context.now_s()
        notices = []
        for record in self._records.values():
            if not record.repeats or record.known.failed_s is None:
                continue
            record.repeats -= 1
            age_s = now_s - record.known.failed_s
            notices.append(
                DownNotice(
                    record.engine.incarnation,
                    int(age_s * _MILLISECONDS_PER_S),
                ),
            )
        return DownUpdate(tuple(notices[:MAX_NOTICES])) if notices else None

    def apply(self, update: DownUpdate) -> None:
        """Apply that another host found engines down."""
        now_s = self._context.now_s()
        ages_s = {
            notice.incarnation: notice.age_ms / _MILLISECONDS_PER_S
            for notice in update.notices
        }
        for engine in self._context.engines:
            age_s = ages_s.get(engine.incarnation)
            if age_s is None:
                continue
            if self._find_rules(engine.entry.service) is None:
                continue
            record = self._find_record(engine)
            record.told_s = max(record.told_s, now_s - age_s)
            record.known = apply_report(
                record.known,
                now_s - age_s,
                engine.last_progress_s,
            )
            self.update(engine)

    def check(self) -> None:
        """Apply new entries, ended times and changes of the hosts."""
        self._refresh_rules()
        if not (self._rules or self._records):
            return
        self._update_hosts()
        for engine in self._context.engines:
            record = self._records.get(engine.entry.engine_id)
            is_new = record is None or record.entry is not engine.entry
            if is_new or engine.cold is not None:
                self.update(engine)
        self._drop_ended()
        now_s = self._context.now_s()
        if now_s - self._logged_s >= LOG_PERIOD_S:
            self._logged_s = now_s
            self._log_use(now_s)

    def _find_rules(self, service: str) -> ColdRules | None:
        self._refresh_rules()
        return self._rules.get(service)

    def _refresh_rules(self) -> None:
        source = (self._context.configuration, self._context.settings.bounds)
        if source[0] is not self._rules_of[0] or (
            source[1] is not self._rules_of[1]
        ):
            self._rules_of = source
            self._rules = _build_rules(*source)

    def _find_record(self, engine: Engine) -> _Record:
        engine_id = engine.entry.engine_id
        record = self._records.get(engine_id)
        if record is None or record.engine is not engine:
            quiet = True
            if record is not None:
                # Some of it may have reached the engine after it restarted.
                quiet = not record.engine.count_sent(self._context.now_s())
            record = _Record(engine, ColdKnowledge(), quiet=quiet)
            self._records[engine_id] = record
        return record

    def _limit(
        self,
        engine: Engine,
        record: _Record,
        rules: ColdRules,
    ) -> None:
        limit_per_s = rules.per_s
        if engine.limit is not None:
            limit_per_s = min(limit_per_s, engine.limit.limit_per_s)
        limit = engine.cold
        if limit is None:
            self._begin(engine, record, rules, limit_per_s)
        elif (
            limit.limit_per_s != limit_per_s
            or record.hosts_number != self._hosts_number
        ):
            limit.limit_per_s = limit_per_s
            self._share(engine, record, rules)

    def _begin(
        self,
        engine: Engine,
        record: _Record,
        rules: ColdRules,
        limit_per_s: float,
    ) -> None:
        now_s = self._context.now_s()
        record.began_s = now_s
        self._update_hosts()
        limit = NamedLimit(limit_per_s, now_s, now_s)
        limit.loan_s = LOAN_S
        limit.lend_pause_s = LEND_PAUSE_S
        engine.cold = limit
        self._share(engine, record, rules)
        if record.quiet and not engine.count_sent(now_s):
            limit.restart(self._find_first_part(limit), now_s)
        self._context.metrics.count('engine_became_cold')
        self._context.log.emit(
            EngineBecameCold(
                engine.entry.engine_id,
                engine.entry.service,
                'entry' if now_s < record.known.until_s else 'contact lost',
                max(record.known.until_s - now_s, 0.0),
                limit_per_s,
                limit.share.rate_per_s,
                len(limit.sharing_hosts),
                engine.count_sent(now_s),
            ),
        )

    def _end(self, engine: Engine) -> None:
        now_s = self._context.now_s()
        record = self._records.get(engine.entry.engine_id)
        engine.cold = None
        if engine.limit is not None:
            # What it was sent as a cold engine counts against its limit too.
            engine.limit.restart(0.0, now_s)
        self._context.log.emit(
            EngineBecameWarm(
                engine.entry.engine_id,
                engine.entry.service,
                0.0 if record is None else now_s - record.began_s,
                engine.count_sent(now_s),
            ),
        )

    def _share(
        self,
        engine: Engine,
        record: _Record,
        rules: ColdRules,
    ) -> None:
        limit = engine.cold
        record.hosts_number = self._hosts_number
        live = len(self._zones) - len(self._lost_s)
        count = count_sharing(limit.limit_per_s, live, rules.allowed)
        ordered = order_hosts(
            ((zone, host) for host, zone in self._zones.items()),
            engine.entry.engine_id,
            engine.entry.zone,
            max(int(rules.allowed), count) + len(self._lost_s),
        )
        limit.sharing_hosts = choose_sharing(
            ordered,
            frozenset(self._lost_s),
            count,
            rules.allowed,
        )
        share = NO_SHARE
        if self._context.settings.host in limit.sharing_hosts:
            share = build_share(limit.limit_per_s, count, rules.allowed)
        limit.set_share(share, self._context.now_s())

    def _find_first_part(self, limit: NamedLimit) -> float:
        # The hosts don't all send at the same moment.
        own = self._context.settings.host
        if own not in limit.sharing_hosts:
            return 0.0
        rank = limit.sharing_hosts.index(own)
        return (rank + 1) / len(limit.sharing_hosts)

    def _update_hosts(self) -> None:
        now_s = self._context.now_s()
        settings = self._context.settings
        listed = {host: peer.zone for host, peer in self._members.peers.items()}
        listed[settings.host] = settings.zone
        known = {
            host: zone
            for host, zone in self._zones.items()
            if host not in self._lost_s
        }
        if listed != known:
            for host in known.keys() - listed.keys():
                self._lost_s[host] = now_s
            for host in listed:
                self._lost_s.pop(host, None)
            self._zones.update(listed)
            self._hosts_number += 1
        for host, lost_s in tuple(self._lost_s.items()):
            if now_s - lost_s > REMEMBER_LOST_S:
                self._lost_s.pop(host)
                self._zones.pop(host)
                self._hosts_number += 1

    def _drop_ended(self) -> None:
        engines = self._context.engines
        ended = [
            engine_id
            for engine_id in self._records
            if engines.find(engine_id) is None
        ]
        for engine_id in ended:
            self._records.pop(engine_id)

    def _log_use(self, now_s: float) -> None:
        for engine in self._list_cold():
            self._context.log.emit(
                EngineColdUsed(
                    engine.entry.engine_id,
                    engine.cold.limit_per_s,
                    engine.cold.share.rate_per_s,
                    engine.cold.count_saved(now_s),
                    engine.count_sent(now_s),
                ),
            )

    def _list_cold(self) -> Iterable[Engine]:
        return [
            engine
            for engine in self._context.engines
            if engine.cold is not None
        ]


def _build_rules(
    configuration: GatewayConfiguration | None,
    bounds: Bounds,
) -> dict[str, ColdRules]:
    if configuration is None:
        return {}
    lapse_s = LAPSE_HEARTBEATS * bounds.heartbeat_s
    return {
        service.name: ColdRules(
            service.cold_per_s,
            service.cold_start_s,
            bounds.cold_over,
            bounds.cold_slack,
            lapse_s + bounds.drain_s,
            UNSEEN_HEARTBEATS * bounds.heartbeat_s,
            REWRITE_HEARTBEATS * bounds.heartbeat_s,
        )
        for service in configuration.services.values()
        if service.cold_per_s > 0 and service.cold_start_s > 0
    }
