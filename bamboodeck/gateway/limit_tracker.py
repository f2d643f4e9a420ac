"""Track the limits that engines name, and tell the other hosts of them.

Load pattern: a limit holds for all hosts together, but an engine tells only the
hosts that send to it, and after a change only those that still may. Each change
is published a few times, since messages may be lost, and a limit in force once
a second by one of the hosts that the engine told again.
"""

from collections.abc import Sequence

import msgspec

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engine_events import (
    EngineLimitChanged,
    EngineLimitUsed,
)
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.limits import (
    NamedLimit,
    find_share,
    list_sharing_hosts,
)
from bamboodeck.gateway.membership import Membership
from bamboodeck.gateway.peer_messages import LimitNotice, LimitUpdate
from bamboodeck.gateway.places.cold_engines import ColdEngines

LOG_PERIOD_S = 4.0
# How often a change is published, in consecutive periods.
CHANGE_REPEATS = 4
REPUBLISH_PERIOD_S = 1.0
# The hosts that share an engine may all be cut off from this one, so that it
# can't learn of the end of a limit.
EXPIRY_S = 30.0
# Bounds a message to what fits a datagram.
MAX_NOTICES = 200

_MILLISECONDS_PER_S = 1000


class _Report(msgspec.Struct):
    # The last answer to this host that told of a limit or of its end.
    observed_s: float = 0.0
    # When any host last published it.
    published_s: float = 0.0
    repeats: int = 0


class LimitTracker:
    """Keep this host within its share of the limits of engines."""

    def __init__(self, context: GatewayContext, members: Membership) -> None:
        """Start without limits."""
        self._context = context
        self._members = members
        self.cold = ColdEngines(context, members)
        self._logged_s = 0.0
        # By incarnation of the engine.
        self._reports: dict[str, _Report] = {}

    def has_room(self, engine: Engine) -> bool:
        """Tell whether this host may send a request to an engine now."""
        self.cold.update(engine)
        limit = engine.binding_limit
        return limit is None or limit.has_room(self._context.now_s())

    def record_sent(self, engine: Engine) -> None:
        """Count a request that is sent to an engine."""
        limit = engine.binding_limit
        if limit is not None:
            limit.take(self._context.now_s())

    def record_head(
        self,
        engine: Engine,
        limit_per_s: float | None,
        began_s: float,
    ) -> None:
        """Record whether an answer names a limit.

        `began_s` is when its request was sent.
        """
        now_s = self._context.now_s()
        known = engine.limit
        if limit_per_s is None:
            # An answer from before the limit may arrive after it.
            if known is None or began_s <= known.named_s:
                return
        changed = self._apply(engine, limit_per_s, now_s, '')
        report = self._reports.setdefault(engine.incarnation, _Report())
        report.observed_s = now_s
        if changed:
            report.repeats = CHANGE_REPEATS

    def build_update(self) -> LimitUpdate | None:
        """Return what to publish now."""
        now_s = self._context.now_s()
        notices = []
        for engine in self._context.engines:
            report = self._reports.get(engine.incarnation)
            if report is None or not _is_due(report, engine, now_s):
                continue
            report.repeats = max(report.repeats - 1, 0)
            report.published_s = now_s
            notices.append(
                LimitNotice(
                    engine.incarnation,
                    None if engine.limit is None else engine.limit.limit_per_s,
                    int((now_s - report.observed_s) * _MILLISECONDS_PER_S),
                ),
            )
        return LimitUpdate(tuple(notices[:MAX_NOTICES])) if notices else None

    def apply(self, host: str, update: LimitUpdate) -> None:
        """Apply what another host was told by engines."""
        now_s = self._context.now_s()
        notices = {notice.incarnation: notice for notice in update.notices}
        for engine in self._context.engines:
            notice = notices.get(engine.incarnation)
            if notice is None:
                continue
            observed_s = now_s - notice.age_ms / _MILLISECONDS_PER_S
            if observed_s <= self._find_observed_s(engine):
                continue
            self._apply(engine, notice.limit_per_s, observed_s, host)
            report = self._reports.setdefault(engine.incarnation, _Report())
            report.observed_s = observed_s
            report.published_s = now_s
            report.repeats = 0

    def check(self) -> None:
        """Renew the shares, drop what is out of date, and log the use."""
        self.cold.check()
        now_s = self._context.now_s()
        limited = [each for each in self._context.engines if each.limit]
        if limited:
            self._share_all(limited)
        for engine in limited:
            if now_s - engine.limit.confirmed_s > EXPIRY_S:
                self._change(engine, None, 'expiry')
        self._drop_ended()
        if now_s - self._logged_s >= LOG_PERIOD_S:
            self._logged_s = now_s
            self._log_use(limited)

    def _find_observed_s(self, engine: Engine) -> float:
        report = self._reports.get(engine.incarnation)
        return 0.0 if report is None else report.observed_s

    def _apply(
        self,
        engine: Engine,
        limit_per_s: float | None,
        observed_s: float,
        reported_by: str,
    ) -> bool:
        known = engine.limit
        if limit_per_s is None:
            if known is None:
                return False
            self._change(engine, None, reported_by)
            return True
        if known is None:
            named = NamedLimit(limit_per_s, observed_s, observed_s)
            self._change(engine, named, reported_by)
            return True
        known.confirmed_s = max(known.confirmed_s, observed_s)
        if known.limit_per_s == limit_per_s:
            return False
        known.limit_per_s = limit_per_s
        self._change(engine, known, reported_by)
        return True

    def _change(
        self,
        engine: Engine,
        limit: NamedLimit | None,
        reported_by: str,
    ) -> None:
        engine.limit = limit
        if limit is not None:
            self._share_all((engine,))
        self._context.metrics.count('engine_limit_changed')
        self._context.log.emit(
            EngineLimitChanged(
                engine.entry.engine_id,
                engine.entry.service,
                -1.0 if limit is None else limit.limit_per_s,
                0.0 if limit is None else limit.share.rate_per_s,
                reported_by,
                engine.count_sent(self._context.now_s()),
            ),
        )

    def _share_all(self, limited: Sequence[Engine]) -> None:
        hosts = self._members.list_hosts()
        services = {engine.entry.service for engine in limited}
        engine_ids = {
            service: self._list_engine_ids(service) for service in services
        }
        for engine in limited:
            self._share(engine, hosts, engine_ids[engine.entry.service])

    def _share(
        self,
        engine: Engine,
        hosts: Sequence[str],
        engine_ids: Sequence[str],
    ) -> None:
        limit = engine.limit
        limit.sharing_hosts = list_sharing_hosts(
            limit.limit_per_s,
            hosts,
            engine.entry.engine_id,
            engine_ids,
        )
        share = find_share(
            limit.limit_per_s,
            self._context.settings.host,
            limit.sharing_hosts,
        )
        limit.set_share(share, self._context.now_s())

    def _list_engine_ids(self, service: str) -> Sequence[str]:
        # Unlisted engines with running requests count too, as they may still
        # be limited.
        listed = sorted(
            (each.entry.zone, each.entry.engine_id)
            for each in self._context.engines.of_service(service)
        )
        return [engine_id for _, engine_id in listed]

    def _drop_ended(self) -> None:
        running = {each.incarnation for each in self._context.engines}
        for incarnation in self._reports.keys() - running:
            self._reports.pop(incarnation)

    def _log_use(self, limited: Sequence[Engine]) -> None:
        now_s = self._context.now_s()
        for engine in limited:
            if engine.limit is None:
                continue
            self._context.log.emit(
                EngineLimitUsed(
                    engine.entry.engine_id,
                    engine.limit.limit_per_s,
                    engine.limit.share.rate_per_s,
                    engine.count_sent(now_s),
                    now_s - engine.limit.confirmed_s,
                ),
            )


def _is_due(report: _Report, engine: Engine, now_s: float) -> bool:
    if report.repeats:
        return True
    if engine.limit is None or report.observed_s <= report.published_s:
        return False
    return now_s - report.published_s >= REPUBLISH_PERIOD_S
