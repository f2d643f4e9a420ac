"""Apply engine reports and track pending orders."""

from collections.abc import Iterable
from dataclasses import replace

from bamboodeck.placement.state import (
    EngineReport,
    FailedLoad,
    LoadVersion,
    Orders,
    PendingOrder,
    PlacementOrder,
    PlacementState,
    UnloadVersion,
    VersionNeed,
)


def apply_reports(
    state: PlacementState,
    reports: Iterable[EngineReport],
) -> PlacementState:
    """Apply reports and drop pending orders that have taken effect.

    Outdated and duplicate reports change nothing.
    """
    engines = {each.engine: each for each in state.engines}
    for report in reports:
        known = engines.get(report.engine)
        if known is None or known.sequence <= report.sequence:
            engines[report.engine] = report
    pending = tuple(
        each
        for each in state.pending
        if not _took_effect(each.order, engines.get(each.order.engine))
    )
    ordered = tuple(engines[name] for name in sorted(engines))
    return replace(state, engines=ordered, pending=pending)


def remove_engine(state: PlacementState, name: str) -> PlacementState:
    """Remove an engine and its pending orders."""
    return replace(
        state,
        engines=tuple(each for each in state.engines if each.engine != name),
        pending=tuple(
            each for each in state.pending if each.order.engine != name
        ),
    )


def set_needs(
    state: PlacementState,
    needs: Iterable[VersionNeed],
) -> PlacementState:
    """Replace the demand, sessions and savings of all zones."""
    return replace(state, needs=tuple(needs))


def discard_order(
    state: PlacementState,
    order: PlacementOrder,
) -> PlacementState:
    """Discard an order that certainly never reached its engine."""
    pending = tuple(each for each in state.pending if each.order != order)
    return replace(state, pending=pending)


def pause_loads(state: PlacementState, until_s: float) -> PlacementState:
    """Pause loads until a time, as the weight store is unavailable."""
    until_s = max(until_s, state.loads_paused_until_s)
    return replace(state, loads_paused_until_s=until_s)


def resend_orders(
    state: PlacementState,
    now_s: float,
) -> tuple[PlacementState, Orders]:
    """Resend orders that have taken no effect.

    Loads are given up after `max_sends`, and the engine is avoided for a time;
    unloads never are.
    """
    rules = state.rules
    pending: list[PendingOrder] = []
    failed = [each for each in state.failed if each.until_s > now_s]
    resent = []
    for each in state.pending:
        if not _is_due(each, state, now_s):
            pending.append(each)
            continue
        order = each.order
        if isinstance(order, LoadVersion) and each.sends >= rules.max_sends:
            until_s = now_s + rules.avoid_engine_s
            failed.append(FailedLoad(order.engine, order.version, until_s))
            continue
        pending.append(replace(each, sent_s=now_s, sends=each.sends + 1))
        resent.append(order)
    state = replace(state, pending=tuple(pending), failed=tuple(failed))
    return state, tuple(resent)


def _is_due(
    pending: PendingOrder,
    state: PlacementState,
    now_s: float,
) -> bool:
    if now_s - pending.sent_s < state.rules.resend_after_s:
        return False
    # While loads are paused, a delayed load must not count as a failure of
    # its engine.
    is_load = isinstance(pending.order, LoadVersion)
    return not is_load or now_s >= state.loads_paused_until_s


def _took_effect(order: PlacementOrder, report: EngineReport | None) -> bool:
    if report is None:
        return False
    match order:
        case LoadVersion(version=version):
            return version in report.loaded
        case UnloadVersion(version=version):
            return version not in report.loaded
