"""Set the prices of provider credits and the spend caps of the zones."""

import math
from dataclasses import replace

from bamboodeck.credits.forecast import SpendForecast
from bamboodeck.credits.pacing import CreditBalance, plan_paces
from bamboodeck.credits.spend import (
    add_checkpoint,
    calibration,
    estimate_metered,
    estimate_spent,
    metered_at,
    update_meter,
)
from bamboodeck.credits.state import (
    CreditEffect,
    CreditLedgerState,
    CreditMessage,
    CreditPrice,
    MeterSpend,
    ProviderLedger,
    PublishPrices,
    RecordLedger,
    ReportSpend,
    Reprice,
    SetCredits,
    SetForecast,
    SpendCap,
    ZoneMeter,
)

MIN_MULTIPLIER = 0.01
MAX_MULTIPLIER = 100.0
# Held back, so that late charges don't overdraw the credits.
RESERVE_FRACTION = 0.005
# The fraction of the remaining credits that all zones together may spend until
# they receive new caps.
CAP_FRACTION = 0.5
METER_TIMEOUT_S = 900.0
RATE_WINDOW_S = 7200.0
RESPONSE_S = 14400.0
MAX_LOG_ERROR = 1.5

Effects = tuple[CreditEffect, ...]


def decide(
    state: CreditLedgerState,
    message: CreditMessage,
    now_s: float,
) -> tuple[CreditLedgerState, Effects]:
    """Return the next state and the effects to execute."""
    match message:
        case SetCredits():
            return _set_credits(state, message), ()
        case SetForecast(forecast=forecast):
            return replace(state, forecast=forecast), ()
        case MeterSpend():
            return _meter(state, message, now_s), ()
        case ReportSpend():
            return _report(state, message), ()
        case Reprice():
            return _reprice(state, now_s)


def prices(state: CreditLedgerState, now_s: float) -> tuple[CreditPrice, ...]:
    """Return the price of each provider, the maximum for expired credits."""
    return tuple(
        CreditPrice(
            ledger.provider,
            ledger.multiplier if now_s < ledger.expires_s else MAX_MULTIPLIER,
        )
        for ledger in state.ledgers
    )


def remaining_credits(ledger: ProviderLedger, state, now_s: float) -> float:
    """Return an estimate of a provider's remaining credits."""
    metered = estimate_metered(_find_meters(state, ledger), now_s)
    return ledger.credits - estimate_spent(ledger, metered)


def _set_credits(
    state: CreditLedgerState,
    message: SetCredits,
) -> CreditLedgerState:
    ledgers = []
    for wanted in message.providers:
        ledger = _find_ledger(state, wanted.provider, wanted.expires_s)
        if ledger is None:
            ledger = ProviderLedger(
                wanted.provider,
                wanted.credits,
                wanted.expires_s,
            )
        ledgers.append(replace(ledger, credits=wanted.credits))
    periods = {(each.provider, each.expires_s) for each in ledgers}
    meters = tuple(
        meter
        for meter in state.meters
        if (meter.provider, meter.expires_s) in periods
    )
    return replace(state, ledgers=tuple(ledgers), meters=meters)


def _meter(
    state: CreditLedgerState,
    message: MeterSpend,
    now_s: float,
) -> CreditLedgerState:
    ledger = _find_ledger(state, message.provider, message.expires_s)
    if ledger is None:
        return state
    key = (message.zone, message.provider, message.expires_s)
    meter = ZoneMeter(*key)
    others = []
    for each in state.meters:
        if (each.zone, each.provider, each.expires_s) == key:
            meter = each
            continue
        others.append(each)
    meter = update_meter(meter, message.total_credits, now_s)
    return replace(state, meters=(*others, meter))


def _report(
    state: CreditLedgerState,
    message: ReportSpend,
) -> CreditLedgerState:
    ledgers = []
    for ledger in state.ledgers:
        matches = (
            ledger.provider == message.provider
            and ledger.expires_s == message.expires_s
            and message.covered_s > ledger.covered_s
        )
        if matches:
            ledger = replace(
                ledger,
                reported_credits=message.total_credits,
                covered_s=message.covered_s,
            )
        ledgers.append(ledger)
    return replace(state, ledgers=tuple(ledgers))


def _reprice(
    state: CreditLedgerState,
    now_s: float,
) -> tuple[CreditLedgerState, Effects]:
    active = [each for each in state.ledgers if now_s < each.expires_s]
    paces = plan_paces(
        [_balance(ledger, state, now_s) for ledger in active],
    )
    ledgers = tuple(
        _adjust_price(ledger, state, paces.get(ledger.provider, 0), now_s)
        for ledger in state.ledgers
    )
    state = replace(state, ledgers=ledgers, priced_s=now_s)
    caps = _set_caps(state, now_s)
    by_key = {(cap.zone, cap.provider): cap.total_credits for cap in caps}
    meters = tuple(
        replace(
            meter,
            cap_credits=by_key.get(
                (meter.zone, meter.provider),
                meter.cap_credits,
            ),
        )
        for meter in state.meters
    )
    state = replace(state, meters=meters)
    published = PublishPrices(prices(state, now_s), caps)
    return state, (RecordLedger(state), published)


def _balance(
    ledger: ProviderLedger,
    state: CreditLedgerState,
    now_s: float,
) -> CreditBalance:
    remaining = remaining_credits(ledger, state, now_s)
    return CreditBalance(
        ledger.provider,
        remaining - RESERVE_FRACTION * ledger.credits,
        state.forecast.credits_between(now_s, ledger.expires_s),
    )


def _adjust_price(
    ledger: ProviderLedger,
    state: CreditLedgerState,
    pace: float,
    now_s: float,
) -> ProviderLedger:
    """Adjust the price so that the spend approaches the pace."""
    metered = estimate_metered(_find_meters(state, ledger), now_s)
    ledger = add_checkpoint(ledger, metered, now_s)
    if now_s >= ledger.expires_s:
        return ledger
    observed = _observe_pace(ledger, state.forecast, metered, now_s)
    if observed is None:
        return ledger
    error = MAX_LOG_ERROR
    if pace > 0:
        ratio = max(observed, 0) / pace
        error = math.log(max(ratio, math.exp(-MAX_LOG_ERROR)))
    error = min(error, MAX_LOG_ERROR)
    elapsed_s = min(max(now_s - state.priced_s, 0), RESPONSE_S)
    step = error * elapsed_s / RESPONSE_S
    multiplier = ledger.multiplier * math.exp(step)
    return replace(
        ledger,
        multiplier=min(max(multiplier, MIN_MULTIPLIER), MAX_MULTIPLIER),
    )


def _observe_pace(
    ledger: ProviderLedger,
    forecast: SpendForecast,
    metered: float,
    now_s: float,
) -> float | None:
    """Return the recent spend per forecast credit, None without data."""
    if not ledger.checkpoints:
        return None
    from_s = max(now_s - RATE_WINDOW_S, ledger.checkpoints[0].time_s)
    expected = forecast.credits_between(from_s, now_s)
    if expected <= 0:
        return None
    spent = (metered - metered_at(ledger, from_s)) * calibration(ledger)
    return spent / expected


def _set_caps(state: CreditLedgerState, now_s: float) -> tuple[SpendCap, ...]:
    caps: list[SpendCap] = []
    for ledger in state.ledgers:
        reporting = []
        left = remaining_credits(ledger, state, now_s) / calibration(ledger)
        for meter in _find_meters(state, ledger):
            if now_s - meter.heard_s <= METER_TIMEOUT_S:
                reporting.append(meter)
                continue
            # An unreachable zone may still spend up to its last cap.
            estimated = estimate_metered([meter], now_s)
            left -= max(meter.cap_credits - estimated, 0)
        caps.extend(_split_caps(reporting, max(left, 0) * CAP_FRACTION))
    return tuple(caps)


def _split_caps(meters: list[ZoneMeter], free: float) -> list[SpendCap]:
    caps = []
    rates = sum(meter.credits_per_s for meter in meters)
    for meter in meters:
        share = 1 / len(meters)
        if rates > 0:
            # Half by use and half evenly, so that an idle zone can grow.
            share = (share + meter.credits_per_s / rates) / 2
        caps.append(
            SpendCap(
                meter.zone,
                meter.provider,
                meter.expires_s,
                meter.metered_credits + free * share,
            ),
        )
    return caps


def _find_meters(
    state: CreditLedgerState,
    ledger: ProviderLedger,
) -> list[ZoneMeter]:
    return [
        meter
        for meter in state.meters
        if meter.provider == ledger.provider
        and meter.expires_s == ledger.expires_s
    ]


def _find_ledger(
    state: CreditLedgerState,
    provider: str,
    expires_s: float,
) -> ProviderLedger | None:
    for ledger in state.ledgers:
        if ledger.provider == provider and ledger.expires_s == expires_s:
            return ledger
    return None
