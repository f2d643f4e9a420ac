"""Compute the cost of running a request on a version."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from operator import itemgetter

from bamboodeck.cascade.messages import CascadeConstraints, VersionOption
from bamboodeck.configuration.model import Model, Preset
from bamboodeck.quality.estimator import QualityEstimator
from bamboodeck.routing.engine_choice import PREFILL_TOKENS_PER_S, EngineChoice
from bamboodeck.routing.messages import RouteRequest

TOKENS_PER_MTOKEN = 1_000_000
FACE_VALUE = 1.0


@dataclass(frozen=True, slots=True)
class DecisionInputs:
    """Bundle the inputs of a decision that don't depend on the request.

    `rating_delay_s` is how long a rating takes; None if none arrive.
    """

    preset: Preset
    prices: Mapping[str, float]
    rating_delay_s: float | None


def build_option(
    request: RouteRequest,
    model: Model,
    credits: float,
    choice: EngineChoice,
    quality: QualityEstimator,
    inputs: DecisionInputs,
) -> VersionOption:
    """Return a version's cost, delay and quality on the chosen engine."""
    quality_bounds = quality.bounds(
        model.name,
        request.customer.name,
        request.request_class.name,
        inputs.preset.confidence,
    )
    return VersionOption(
        model.name,
        credits + choice.price_credits,
        choice.answer_s,
        quality_bounds.mean,
        quality_bounds.lower,
    )


def nominal_costs(
    request: RouteRequest,
    models: Sequence[Model],
    inputs: DecisionInputs,
) -> tuple[tuple[str, float], ...]:
    """Return the versions' costs for held answers, cheapest first.

    Costs are in credits, for an idle engine and a prompt of usual length.
    """
    request_class = request.request_class
    usual = replace(
        request,
        prompt_tokens=request_class.expected_input_tokens,
    )
    costs: list[tuple[str, float]] = []
    for model in models:
        run_s = (
            model.first_token_s
            + request_class.expected_output_tokens / model.tokens_per_s
            + usual.prompt_tokens / PREFILL_TOKENS_PER_S
        )
        # A held answer isn't streamed, so a streaming caller waits for all of
        # it; this is charged as a second run time.
        waits_s = run_s + (inputs.rating_delay_s or 0) + run_s * request.stream
        credits = answer_credits(usual, model, inputs.prices)
        credits += waits_s * inputs.preset.delay_credits_per_s
        costs.append((model.name, credits))
    return tuple(sorted(costs, key=itemgetter(1)))


def answer_credits(
    request: RouteRequest,
    model: Model,
    prices: Mapping[str, float],
) -> float:
    """Return an answer's expected cost at the present credit prices."""
    output_tokens = request.request_class.expected_output_tokens
    face_credits = (
        request.prompt_tokens * model.input_credits_per_mtoken
        + output_tokens * model.output_credits_per_mtoken
    ) / TOKENS_PER_MTOKEN
    return face_credits * prices.get(model.provider, FACE_VALUE)


def cascade_constraints(
    request: RouteRequest,
    inputs: DecisionInputs,
    *,
    fixed: bool,
) -> CascadeConstraints:
    """Return the constraints on a cascade for this request."""
    return CascadeConstraints(
        request.customer.quality_target,
        request.deadline_s,
        inputs.rating_delay_s or 0,
        inputs.preset.delay_credits_per_s,
        request.stream,
        allowed=(
            inputs.preset.cascade
            and not fixed
            and inputs.rating_delay_s is not None
        ),
    )
