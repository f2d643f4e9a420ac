"""Build refusals of requests that can't run at present."""

from bamboodeck.configuration.model import Model
from bamboodeck.routing.eligibility import EligibleVersions
from bamboodeck.routing.messages import (
    RefusalCode,
    RouteRequest,
    RouteRefused,
)

MIN_RETRY_S = 1.0
NO_ENGINE_RETRY_S = 5.0


def refuse_rollout(model: Model, eligible: EligibleVersions) -> RouteRefused:
    """Refuse a request that only a version in roll-out could run."""
    return RouteRefused(
        RefusalCode.VERSION_IN_ROLLOUT,
        f'version "{model.name}" is in roll-out and takes no requests now',
        NO_ENGINE_RETRY_S,
        eligible.rejected_count + 1,
    )


def refuse_no_engine(
    request: RouteRequest,
    eligible: EligibleVersions,
) -> RouteRefused:
    """Refuse a request for which no engine has capacity."""
    return RouteRefused(
        RefusalCode.NO_ENGINE,
        'no engine has capacity for a request of customer "{0}"'.format(
            request.customer.name,
        ),
        NO_ENGINE_RETRY_S,
        eligible.rejected_count + len(eligible.steady),
    )


def refuse_past_deadline(
    request: RouteRequest,
    answer_s: float,
    eligible: EligibleVersions,
) -> RouteRefused:
    """Refuse a request whose fastest answer would miss the deadline."""
    return RouteRefused(
        RefusalCode.OVERLOADED,
        'the answer would take {0:.1f} s, past the deadline of'
        ' {1:.1f} s'.format(answer_s, request.deadline_s),
        max(answer_s - request.deadline_s, MIN_RETRY_S),
        eligible.rejected_count + len(eligible.steady),
    )
