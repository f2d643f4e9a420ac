"""Choose a cascade or single version and an engine for a request."""

import math
import random
from collections.abc import Sequence
from operator import itemgetter

from bamboodeck.cascade.messages import CascadePlan, VersionOption
from bamboodeck.cascade.optimizer import Cascade
from bamboodeck.cascade.plan import build_plan, choose_plan, explore
from bamboodeck.configuration.model import Model
from bamboodeck.quality.estimator import QualityEstimator
from bamboodeck.routing.cascade_cache import CascadeCache
from bamboodeck.routing.eligibility import EligibleVersions
from bamboodeck.routing.engine_choice import EngineChoice, EngineChooser
from bamboodeck.routing.mechanisms import Mechanisms
from bamboodeck.routing.messages import (
    RouteChosen,
    RouteDecision,
    RouteRequest,
)
from bamboodeck.routing.options import (
    DecisionInputs,
    answer_credits,
    build_option,
    cascade_constraints,
    nominal_costs,
)
from bamboodeck.routing.prefixes import PrefixIndex
from bamboodeck.routing.refusals import (
    refuse_no_engine,
    refuse_past_deadline,
    refuse_rollout,
)
from bamboodeck.routing.rollout_gate import ClosedGate, RolloutGate

_PricedOption = tuple[VersionOption, EngineChoice]


class Decider:
    """Choose among the eligible versions by cost, quality and delay."""

    def __init__(
        self,
        quality: QualityEstimator,
        chooser: EngineChooser,
        prefixes: PrefixIndex,
        inputs: DecisionInputs,
        rng: random.Random,
        mechanisms: Mechanisms,
    ) -> None:
        """Use a closed roll-out gate; `inputs` and `gate` may be replaced."""
        self.inputs = inputs
        self.gate: RolloutGate = ClosedGate()
        self.cascades = CascadeCache(quality, mechanisms)
        self._mechanisms = mechanisms
        self._quality = quality
        self._chooser = chooser
        self._prefixes = prefixes
        self._random = rng

    def decide(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        now_s: float,
    ) -> RouteDecision:
        """Choose a version and an engine, or refuse the request."""
        cascade = self._find_cascade(request, eligible)
        exploring = self._random.random() < self.inputs.preset.explore_share
        if cascade is None or (exploring and len(cascade.steps) == 1):
            return self._choose_among_all(
                request, eligible, cascade, exploring, now_s
            )
        choice = self._choose_first_engine(request, eligible, cascade, now_s)
        if choice is None:
            return self._choose_among_all(
                request, eligible, cascade, exploring, now_s
            )
        plan = build_plan(cascade)
        return self._route(request, eligible, choice, plan, now_s)

    def _find_cascade(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
    ) -> Cascade | None:
        """Return the cascade at the customer's score price, if one may run."""
        inputs = self.inputs
        models = eligible.steady
        if eligible.fixed or len(models) < 2:
            return None
        if not inputs.preset.cascade or inputs.rating_delay_s is None:
            return None
        # A session stays on the version of its first request, so that request
        # must not use a version that relies on a cascade's later steps.
        direct = request.opens_session
        if direct and not self._mechanisms.priced_sessions:
            return None
        return self.cascades.find(
            request,
            models,
            inputs.preset,
            lambda: nominal_costs(request, models, inputs),
            direct=direct,
        )

    def _choose_first_engine(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        cascade: Cascade,
        now_s: float,
    ) -> EngineChoice | None:
        """Return the first step's engine if all steps can run in time."""
        if not cascade.reaches_goal:
            return None
        rating_delay_s = self.inputs.rating_delay_s or 0
        shared = self._chooser.prepare(request, self.inputs.preset, now_s)
        left_s = request.deadline_s + rating_delay_s
        first: EngineChoice | None = None
        for step in cascade.steps:
            model = _model_of(eligible, step.version)
            choice = self._chooser.choose(model, shared)
            if choice is None:
                return None
            left_s -= choice.answer_s + rating_delay_s
            first = first or choice
        return first if left_s >= 0 else None

    def _choose_among_all(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        cascade: Cascade | None,
        exploring: bool,
        now_s: float,
    ) -> RouteDecision:
        """Price all versions, then explore or choose a cascade or a version."""
        price_all = cascade is not None
        priced = self._price_options(
            request,
            eligible.steady,
            now_s,
            price_all=price_all,
        )
        if not priced:
            return self._choose_rollout(request, eligible, now_s)
        options = [option for option, _ in priced]
        fastest_s = min(option.answer_s for option in options)
        if fastest_s > request.deadline_s:
            return refuse_past_deadline(request, fastest_s, eligible)
        fixed = eligible.fixed or request.opens_session
        constraints = cascade_constraints(
            request, self.inputs, fixed=eligible.fixed
        )
        plan = choose_plan(options, constraints, cascade)
        if exploring and not plan.later and not fixed:
            plan = explore(options, plan, constraints)
        choice = _choice_of(priced, plan.version)
        return self._route(request, eligible, choice, plan, now_s)

    def _route(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        choice: EngineChoice,
        plan: CascadePlan,
        now_s: float,
    ) -> RouteChosen:
        rollout = self._try_rollout(request, eligible, plan.version, now_s)
        if rollout is not None:
            return rollout
        reason = _reason(request, eligible, plan)
        return self._build_route(
            request,
            eligible,
            choice,
            plan,
            reason,
            now_s,
        )

    def _price_options(
        self,
        request: RouteRequest,
        models: Sequence[Model],
        now_s: float,
        *,
        price_all: bool = False,
    ) -> list[_PricedOption]:
        """Return the versions that have an engine, with cost and quality.

        Unless `price_all` is set, leave out versions that can't be cheaper
        than an option which already meets the target and the deadline.
        """
        shared = self._chooser.prepare(request, self.inputs.preset, now_s)
        limit_credits = math.inf
        priced: list[_PricedOption] = []
        for credits, model in self._by_price(request, models):
            if credits >= limit_credits and not price_all:
                break
            choice = self._chooser.choose(model, shared)
            if choice is None:
                continue
            option = build_option(
                request,
                model,
                credits,
                choice,
                self._quality,
                self.inputs,
            )
            priced.append((option, choice))
            if _is_sufficient(option, request):
                limit_credits = min(limit_credits, option.cost_credits)
        return priced

    def _by_price(
        self,
        request: RouteRequest,
        models: Sequence[Model],
    ) -> list[tuple[float, Model]]:
        priced = [
            (answer_credits(request, model, self.inputs.prices), model)
            for model in models
        ]
        priced.sort(key=itemgetter(0))
        return priced

    def _try_rollout(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        version: str,
        now_s: float,
    ) -> RouteChosen | None:
        """Route to a roll-out of the chosen version if the gate admits it."""
        for model in eligible.rollouts:
            if model.rollout_baseline != version:
                continue
            return self._route_to_rollout(request, eligible, model, now_s)
        return None

    def _choose_rollout(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        now_s: float,
    ) -> RouteDecision:
        if eligible.steady or not eligible.rollouts:
            return refuse_no_engine(request, eligible)
        model = eligible.rollouts[0]
        chosen = self._route_to_rollout(request, eligible, model, now_s)
        if chosen is not None:
            return chosen
        return refuse_rollout(model, eligible)

    def _route_to_rollout(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        model: Model,
        now_s: float,
    ) -> RouteChosen | None:
        if not self.inputs.preset.accept_rollouts:
            return None
        priced = self._price_options(request, (model,), now_s)
        if not priced or not _meets_deadline(priced[0][0], request):
            return None
        weight = request.request_class.exposure_weight
        weight *= request.customer.weight
        # The gate must come last, since admission consumes its weight bound.
        if not self.gate.admit(model.name, weight, now_s):
            return None
        option, choice = priced[0]
        plan = CascadePlan(model.name, (), option.cost_credits, False)
        reason = 'rollout'
        return self._build_route(request, eligible, choice, plan, reason, now_s)

    def _build_route(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        choice: EngineChoice,
        plan: CascadePlan,
        reason: str,
        now_s: float,
    ) -> RouteChosen:
        engine = choice.tracked.engine
        self._prefixes.add(request.prefix_hash, engine.name, now_s)
        return RouteChosen(
            plan.version,
            engine.name,
            engine.address,
            plan.expected_cost_credits,
            reason,
            eligible.rejected_count + len(eligible.steady) - 1,
            plan.later,
            plan.acceptance_scores,
            plan.score_per_credit,
        )


def _choice_of(priced: Sequence[_PricedOption], version: str) -> EngineChoice:
    for option, choice in priced:
        if option.version == version:
            return choice
    raise LookupError(version)


def _model_of(eligible: EligibleVersions, version: str) -> Model:
    for model in eligible.steady:
        if model.name == version:
            return model
    raise LookupError(version)


def _is_sufficient(option: VersionOption, request: RouteRequest) -> bool:
    enough = option.lower >= request.customer.quality_target
    return enough and _meets_deadline(option, request)


def _meets_deadline(option: VersionOption, request: RouteRequest) -> bool:
    return option.answer_s <= request.deadline_s


def _reason(
    request: RouteRequest,
    eligible: EligibleVersions,
    plan: CascadePlan,
) -> str:
    if eligible.fixed:
        in_session = request.session_version == plan.version
        return 'session' if in_session else 'requested'
    if plan.explored:
        return 'explore'
    if plan.later:
        return 'cascade' if plan.meets_target else 'best_cascade'
    if plan.score_per_credit:
        return 'score_price'
    if plan.meets_target:
        return 'cheapest_meeting_target'
    return 'best_lower_bound'
