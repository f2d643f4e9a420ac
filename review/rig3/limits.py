"""Apply the rule LIMIT to what one engine has received."""

import math

import msgspec

from bamboodeck.fakes.platform.engine import PlatformEngineFake
from review.rig3.callers import Callers
from review.rig3.case import Record

# Bounds of the rule.
STABILITY_S = 4.0
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5
# A host is bound once it has passed on an answer with the limit this long ago.
TOLD_S = 0.5


class NamedLimit(msgspec.Struct, frozen=True):
    """Say what an engine has named, and since when."""

    limit_per_s: float
    named_s: float

    @property
    def allowed(self) -> float:
        """Return the requests that the engine may get in some four seconds."""
        return OVER * self.limit_per_s * WINDOW_S + SLACK


def exceeds_limit(
    record: Record,
    callers: Callers,
    engine: PlatformEngineFake,
    limit: NamedLimit,
) -> bool:
    """Tell whether the engine got more than its limit allows."""
    asked = {each.request_id: each for each in callers.asked}
    told_s: dict[str, float] = {}
    arrivals = []
    for run in engine.runs:
        request = asked[run.request_id]
        bound_s = told_s.get(request.gateway, math.inf) + TOLD_S
        bound = run.began_s >= max(bound_s, limit.named_s + STABILITY_S)
        at_s = run.began_s - limit.named_s
        if at_s >= 0:
            record.add(
                f'arrived_s={at_s:.3f} id={run.request_id} '
                f'gateway={request.gateway} counted={bound}',
            )
        if bound:
            arrivals.append(at_s)
        ended_s = request.ended_s
        if ended_s is not None and ended_s >= limit.named_s:
            # The engine has answered it with the limit.
            first_s = told_s.get(request.gateway, math.inf)
            told_s[request.gateway] = min(first_s, ended_s)
    most = max(map(len, _list_windows(arrivals)), default=0)
    record.tell(
        f'limit_per_s={limit.limit_per_s} counted={len(arrivals)} '
        f'most_in_{WINDOW_S:g}_s={most} allowed={limit.allowed:g}',
    )
    return most > limit.allowed


def _list_windows(arrivals: list[float]) -> list[list[float]]:
    return [
        [other for other in arrivals if 0 <= other - begin < WINDOW_S]
        for begin in arrivals
    ]
