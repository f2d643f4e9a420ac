"""Choose between one version and a cascade for a request."""

from collections.abc import Sequence
from operator import attrgetter

from bamboodeck.cascade.messages import (
    CascadeConstraints,
    CascadePlan,
    VersionOption,
)
from bamboodeck.cascade.optimizer import Cascade


def choose_plan(
    options: Sequence[VersionOption],
    constraints: CascadeConstraints,
    cascade: Cascade | None,
) -> CascadePlan:
    """Return the cascade if it meets the deadline, else a single version.

    If no score price reaches the goal, return whichever has the higher
    expected score. Raise `ValueError` if there is no option.
    """
    direct_option, meets_target = choose_direct(options, constraints)
    direct = CascadePlan(
        direct_option.version, (), direct_option.cost_credits, meets_target
    )
    if cascade is None or not constraints.allowed:
        return direct
    if not _is_in_time(cascade, options, constraints):
        return direct
    if (
        not cascade.reaches_goal
        and cascade.expected_score <= direct_option.mean
    ):
        return direct
    return build_plan(cascade)


def build_plan(cascade: Cascade) -> CascadePlan:
    """Return the plan that runs a cascade."""
    first, *others = cascade.steps
    return CascadePlan(
        first.version,
        tuple(step.version for step in others),
        cascade.expected_cost_credits,
        meets_target=cascade.reaches_goal,
        acceptance_scores=tuple(
            step.acceptance_score for step in cascade.steps if others
        ),
        score_per_credit=cascade.score_per_credit,
    )


def choose_direct(
    options: Sequence[VersionOption],
    constraints: CascadeConstraints,
) -> tuple[VersionOption, bool]:
    """Return the cheapest option that meets the target, or the best one.

    Options that miss the deadline count only if none meets it.
    """
    in_time = [
        each for each in options if each.answer_s <= constraints.deadline_s
    ]
    meeting = [
        each
        for each in in_time or options
        if each.lower >= constraints.quality_target
    ]
    if meeting:
        return min(meeting, key=attrgetter('cost_credits')), True
    return max(in_time or options, key=attrgetter('lower')), False


def explore(
    options: Sequence[VersionOption],
    plan: CascadePlan,
    constraints: CascadeConstraints,
) -> CascadePlan:
    """Return the cheapest version that may meet the target, to rate it."""
    for option in sorted(options, key=attrgetter('cost_credits')):
        if not _may_meet_target(option, plan, constraints):
            continue
        return CascadePlan(
            option.version,
            (),
            option.cost_credits,
            meets_target=False,
            explored=True,
        )
    return plan


def _may_meet_target(
    option: VersionOption,
    plan: CascadePlan,
    constraints: CascadeConstraints,
) -> bool:
    if (
        option.version == plan.version
        or option.answer_s > constraints.deadline_s
    ):
        return False
    costlier = option.cost_credits >= plan.expected_cost_credits
    # The upper bound lies as far above the mean as the lower one below it.
    upper = 2 * option.mean - option.lower
    return upper >= constraints.quality_target and not (
        costlier and plan.meets_target
    )


def _is_in_time(
    cascade: Cascade,
    options: Sequence[VersionOption],
    constraints: CascadeConstraints,
) -> bool:
    """Return whether all steps meet the deadline, with ratings between."""
    answer_s = {option.version: option.answer_s for option in options}
    if any(step.version not in answer_s for step in cascade.steps):
        return False
    steps_s = sum(answer_s[step.version] for step in cascade.steps)
    ratings_s = constraints.rating_delay_s * (len(cascade.steps) - 1)
    return steps_s + ratings_s <= constraints.deadline_s
