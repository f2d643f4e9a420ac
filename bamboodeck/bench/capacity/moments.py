"""Work out bad moments: restarts, cuts, outages and hot days."""

from dataclasses import dataclass

from bamboodeck.bench.capacity.costs import (
    FRAME_OVERHEAD_BYTES,
    REPORTS_PER_S,
    SUMMARY_PER_S,
    US_PER_S,
    Basis,
)
from bamboodeck.bench.capacity.redesign import DELTA_BYTES, delta_us
from bamboodeck.bench.capacity.roles import fanout_us
from bamboodeck.bench.capacity.sizes import OUTAGE_S, SECONDS_A_DAY
from bamboodeck.billing.messages import BillingLimits
from bamboodeck.controller.bills import FOLD_PERIOD_S
from bamboodeck.controller.zone import RELAY_TIMEOUT_S, RANK_DELAY_S
from bamboodeck.leases.messages import LeaseLimits

HOT_FACTOR = 10
CLAIM_CALLS = 4
RESTARTS_A_DAY = 3400
FAILURES_A_DAY = 140


@dataclass(frozen=True, slots=True)
class Moment:
    """Hold what a bad moment asks for and what to do about it."""

    name: str
    formula: str
    outcome: str
    answer: str


def bad_moments(basis: Basis) -> tuple[Moment, ...]:
    """List the bad moments of a fleet."""
    builders = (
        _zone_restart,
        _zone_start_messages,
        _cut_heals,
        _outage,
        _hot_day,
        _leases_lapse,
        _restarts,
    )
    return tuple(build(basis) for build in builders)


def _zone_restart(basis: Basis) -> Moment:
    processes = basis.size.processes_a_zone
    sent_bytes = processes * basis.news_bytes
    spent_s = processes * fanout_us(basis) / US_PER_S
    return Moment(
        'restart of a whole zone: configuration',
        'processes in the zone x configuration_news_bytes from the first '
        'that has it',
        f'{sent_bytes / 1e6:.3g} MB and {spent_s:.2g} s of its core, once; '
        'each empty process asks every peer each second, so several copies '
        'may come',
        'ask two peers in turn, not all; engines left out of the document',
    )


def _zone_start_messages(basis: Basis) -> Moment:
    processes = basis.size.processes_a_zone
    hosts = basis.size.hosts_a_zone
    frames_per_s = processes * hosts * REPORTS_PER_S
    share = processes * REPORTS_PER_S * basis.frame_us / US_PER_S
    return Moment(
        'restart of a whole zone: status reports before a relay acts',
        'processes x controllers of the zone x 1/s',
        f'{frames_per_s:.0f} frames/s in the zone, {share:.2%} of a core of '
        'each controller, for about 3 s',
        'short, so it may stay',
    )


def _cut_heals(basis: Basis) -> Moment:
    size = basis.size
    frames_per_s = SUMMARY_PER_S * (size.zones - 1) * size.hosts_a_zone
    heartbeat = basis.us('heartbeat_bytes', 0) + FRAME_OVERHEAD_BYTES
    return Moment(
        'a zone cut off, and the cut healing',
        "the cut relay's 1/s x (zones - 1) x controllers of a zone x "
        '(heartbeat_bytes + 88); peer_frame / 2',
        f'{frames_per_s:.0f} frames/s, {frames_per_s * heartbeat / 1e3:.3g} '
        f'KB/s, {frames_per_s * basis.frame_us / US_PER_S:.2%} of a core '
        'while it lasts; at its end one document goes round the zone',
        'try two controllers of a silent zone in turn',
    )


def _outage(basis: Basis) -> Moment:
    size = basis.size
    a_process = size.requests_a_host * OUTAGE_S / size.entries_a_host
    limit = BillingLimits().max_batch_records / FOLD_PERIOD_S
    arriving = size.requests_a_host / size.entries_a_host
    catch_up_s = a_process / (limit - arriving)
    return Moment(
        'an hour without the key-value service, then catch-up',
        'records of an hour an entry process / (500/s folded - arriving)',
        f'{a_process:.0f} records wait in each entry process and its peer; '
        f'at least {catch_up_s:.0f} s to catch up if no write conflicts',
        'totals in place of records, folded by one process a zone',
    )


def _hot_day(basis: Basis) -> Moment:
    changes_per_s = basis.size.changes_per_s * HOT_FACTOR
    built = changes_per_s * basis.in_force_us / US_PER_S
    delta_bytes = changes_per_s * (DELTA_BYTES + FRAME_OVERHEAD_BYTES)
    redesigned = changes_per_s * delta_us(basis) / US_PER_S
    return Moment(
        f'a hot hour of configuration, {HOT_FACTOR} times the mean rate',
        'changes/s x 10 x (configuration_offer + configuration_apply_fleet)',
        f'{changes_per_s:.3g} changes/s: {built:.2%} of a core a process as '
        f'built; {redesigned:.2%} and {delta_bytes / 1e3:.3g} KB/s received '
        'as deltas',
        'deltas, and several changes in one frame each half second',
    )


def _leases_lapse(basis: Basis) -> Moment:
    size = basis.size
    first_s = RELAY_TIMEOUT_S + LeaseLimits().poll_interval_s
    polling_controllers = min(first_s / RANK_DELAY_S, size.hosts_a_zone)
    calls = size.zones * polling_controllers * CLAIM_CALLS
    return Moment(
        'all leases lapsing together',
        'zones x controllers whose rank lets them look within 8 s x (look, '
        'grant, claim, give back)',
        f'at most {calls:.0f} calls within {first_s:.0f} s, '
        f'{calls / first_s:.0f}/s',
        'built: controllers look by rank, a second apart, once no holder is '
        'heard',
    )


def _restarts(basis: Basis) -> Moment:
    a_day = (RESTARTS_A_DAY + FAILURES_A_DAY) / 1300 * basis.size.hosts
    per_s = a_day / SECONDS_A_DAY
    return Moment(
        'ordinary failures and restarts',
        'hosts x (140 + 3,400) / 1,300 a day; a document for each',
        f'{a_day:.0f} a day, {per_s * basis.news_bytes / 1e3:.3g} KB/s over '
        'the whole fleet',
        'none needed',
    )
