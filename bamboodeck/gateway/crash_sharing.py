"""Tell other hosts which requests were on engines that crashed.

Load pattern: a request that crashes engines comes at one host after the other,
and a sound one that was beside it is answered at another host than the one that
saw the crash.
"""

import msgspec

from bamboodeck.admission.poison import ClearReport, CrashReport, PoisonReport
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.peer_messages import ClearNotice, CrashNotice

MAX_CRASH_REPORTS = 50
# An answer is published for so long, as messages may be lost.
REPEAT_CLEARED_S = 3.0


class CrashNews(msgspec.Struct, frozen=True):
    """Hold what one host or zone tells of requests."""

    crashes: tuple[CrashNotice, ...] = ()
    cleared: tuple[ClearNotice, ...] = ()


def list_news(context: GatewayContext) -> CrashNews:
    """Return the suspected requests, and those that were answered since."""
    now_s = context.environment.wall_s()
    crashes = []
    cleared = []
    for report in context.poison.reports(now_s, MAX_CRASH_REPORTS):
        match report:
            case CrashReport(fingerprint, host, crashed_s, incarnation):
                crashes.append(
                    CrashNotice(fingerprint, host, crashed_s, incarnation),
                )
            case ClearReport(fingerprint, cleared_s):
                if now_s - cleared_s < REPEAT_CLEARED_S:
                    cleared.append(ClearNotice(fingerprint, cleared_s))
    return CrashNews(tuple(crashes), tuple(cleared))


def merge_news(context: GatewayContext, news: CrashNews) -> None:
    """Merge what another host tells."""
    if not (news.crashes or news.cleared):
        return
    reports: list[PoisonReport] = [
        CrashReport(
            notice.fingerprint,
            notice.engine_id,
            notice.crashed_unix_s,
            notice.incarnation,
        )
        for notice in news.crashes
    ]
    reports.extend(
        ClearReport(notice.fingerprint, notice.cleared_unix_s)
        for notice in news.cleared
    )
    context.poison.merge(reports, context.environment.wall_s())
