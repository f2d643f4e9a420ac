"""Choose the requests that use a new version.

Load pattern: a version is rolled out under live traffic and may be bad. For the
first half of the roll-out a small share of the sessions uses it. Then the share
grows in steps.
"""

import msgspec
import xxhash

# Share of sessions on the new version at each step, and the fraction of the
# roll-out's duration at which the step starts. Running sessions may switch
# versions only in the second half.
STEP_SHARES = (0.08, 0.3, 0.6, 1.0)
STEP_START_FRACTIONS = (0.0, 0.54, 0.62, 0.7)
LAST_STEP = len(STEP_SHARES) - 1
# A version about which too little is known by then is rolled back.
UNDECIDED_FRACTION = 0.95
# Old engines are stopped at completion, so their streams need time to end.
COMPLETION_FRACTION = 0.9


def share_at(step: int) -> float:
    """Return the share of sessions on the new version at a step."""
    return STEP_SHARES[min(step, len(STEP_SHARES) - 1)]


def step_due(elapsed_s: float, duration_s: float) -> int:
    """Return the step that is due after the elapsed time."""
    fraction = elapsed_s / duration_s if duration_s > 0 else 1.0
    return max(
        step
        for step, start in enumerate(STEP_START_FRACTIONS)
        if fraction >= start
    )


def step_start_s(step: int, duration_s: float) -> float:
    """Return when a step is due, in seconds since the order."""
    return STEP_START_FRACTIONS[step] * duration_s


def clamp_elapsed_s(elapsed_s: float, step: int, duration_s: float) -> float:
    """Limit an elapsed time to that in which a step is the newest one."""
    starts = (*STEP_START_FRACTIONS, 1.0)
    latest = starts[min(step + 1, len(starts) - 1)] * duration_s
    return max(min(elapsed_s, latest), starts[step] * duration_s)


def is_complete(step: int, elapsed_s: float, duration_s: float) -> bool:
    """Tell whether all sessions have used the new version long enough."""
    return step >= LAST_STEP and elapsed_s >= duration_s * COMPLETION_FRACTION


def is_undecided(elapsed_s: float, duration_s: float) -> bool:
    """Tell whether there is no time left to find out about a version."""
    return elapsed_s >= duration_s * UNDECIDED_FRACTION


def is_in_share(key: str, version: str, share: float) -> bool:
    """Tell whether a session is in the share; a larger share contains it."""
    digest = xxhash.xxh32_intdigest(f'{version}/{key}'.encode())
    return digest / 0xFFFFFFFF < share


class VersionChoice(msgspec.Struct, frozen=True):
    """Restrict the versions of a service that a request may use.

    With `only` set to `None`, every version but `excluded` may be used.
    """

    only: str | None = None
    excluded: str | None = None
    # Whether no other version may be used even if no engine matches.
    strict: bool = False
    # The engines of the version that are tried, by default all.
    engines: frozenset[str] | None = None


def choose_version(
    target: str,
    *,
    share: float,
    key: str,
    pinned: str | None,
    may_switch: bool,
) -> VersionChoice:
    """Choose between the new version and the old ones."""
    if pinned == target:
        return VersionChoice(only=target)
    if pinned is not None and not may_switch:
        return VersionChoice(excluded=target, strict=True)
    if is_in_share(key, target, share):
        return VersionChoice(only=target)
    return VersionChoice(excluded=target)
