"""Choose the engines that a version is tried on, and when.

Load pattern: during a trial a small share of the requests uses the new version.
Spread over all its engines they would never bring any of them the load that it
will have, so they are sent to few engines: those of sessions all the time,
others in bursts.
"""

from collections.abc import Collection

from bamboodeck.gateway.placement import rendezvous_hash

# All hosts send bursts at the same time, by the time of day. A burst lasts
# several times as long as a usual call, so that load builds up.
BURST_PERIOD_S = 1.5
BURST_S = 0.5
# In a burst an engine gets up to this multiple of its later load.
BURST_LOAD = 3
# New sessions go to the next engines after this time, as the faults of a single
# engine say nothing about the version.
SESSION_PERIOD_S = 2.5


def is_burst(unix_s: float) -> bool:
    """Tell whether a burst is due at a time of day."""
    return unix_s % BURST_PERIOD_S < BURST_S


def choose_burst_engines(
    engine_ids: Collection[str],
    version: str,
    unix_s: float,
) -> frozenset[str]:
    """Return the engines on trial that get a burst."""
    count = -(-len(engine_ids) // BURST_LOAD)
    return _take(engine_ids, version, count, unix_s / BURST_PERIOD_S)


def choose_session_engines(
    engine_ids: Collection[str],
    version: str,
    unix_s: float,
    share: float,
) -> frozenset[str]:
    """Return the engines on trial that get a share of the sessions."""
    count = max(int(len(engine_ids) * share), 1)
    return _take(engine_ids, version, count, unix_s / SESSION_PERIOD_S)


def _take(
    engine_ids: Collection[str],
    version: str,
    count: int,
    turn: float,
) -> frozenset[str]:
    ordered = sorted(
        engine_ids,
        key=lambda engine_id: rendezvous_hash(version, engine_id),
    )
    if not ordered:
        return frozenset()
    first = int(turn) * count % len(ordered)
    return frozenset((ordered + ordered)[first : first + count])
