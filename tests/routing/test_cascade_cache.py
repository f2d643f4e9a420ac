"""Compare routed cascades with ones computed from scratch."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.cascade.optimizer import (
    Candidate,
    Cascade,
    RequestGroup,
    cascade_at_price,
    direct_at_price,
    find_price,
)
from bamboodeck.configuration.model import RequestClass
from bamboodeck.quality.messages import Rating
from bamboodeck.routing.messages import RouteChosen, RouteRequest
from bamboodeck.routing.options import TOKENS_PER_MTOKEN
from bamboodeck.routing.router import DEFAULT_RATING_DELAY_S, Router
from tests.routing.sample import (
    BLURB,
    LARGE,
    PRESET,
    SMALL,
    configuration,
    customer,
    engine,
    model,
    route_request,
    router,
)

MIDDLE = 'middle@1'
VERSIONS = (SMALL, MIDDLE, LARGE)
DRAFT = RequestClass('draft', 3.0, 20, 100, 400)
MODELS = (model(SMALL, 0.7, 1), model(MIDDLE, 0.85, 6), model(LARGE, 0.97, 20))
RATINGS = st.lists(
    st.tuples(
        st.sampled_from(VERSIONS),
        st.sampled_from((BLURB, DRAFT)),
        st.integers(0, 20),
        st.integers(0, 1),
        st.booleans(),
    ),
    max_size=60,
)


def build() -> Router:
    """Build a router for cascades of three versions."""
    preset = replace(PRESET, cascade=True)
    engines = tuple(
        replace(engine(name), versions=VERSIONS) for name in ('e1', 'e2', 'e3')
    )
    return router(
        configuration(
            presets=(preset,),
            models=MODELS,
            engines=engines,
            classes=(BLURB, DRAFT),
        ),
    )


def reference_group(built: Router, asked: RouteRequest) -> RequestGroup:
    """Build a class's group from the costs and scores of all versions."""
    client, request_class = asked.customer, asked.request_class
    tokens = (
        request_class.expected_input_tokens
        + request_class.expected_output_tokens
    )
    candidates = tuple(
        Candidate(
            each.name,
            tokens * each.input_credits_per_mtoken / TOKENS_PER_MTOKEN,
            built.quality.scores(each.name, client.name, request_class.name),
            built.quality.later_scores(
                each.name, client.name, request_class.name
            ),
        )
        for each in MODELS
    )
    weight = built.quality.delivered(client.name, request_class.name).count + 1
    return RequestGroup(
        weight, candidates, client.quality_target - PRESET.floor_gap
    )


def reference_cascade(
    built: Router, asked: tuple[RouteRequest, ...]
) -> Cascade:
    """Compute the last request's cascade from the groups of all classes."""
    groups = [reference_group(built, each) for each in asked]
    goal = built.quality.goal(asked[-1].customer, '', PRESET.confidence)
    price = find_price(groups, goal)
    chosen = direct_at_price if asked[-1].opens_session else cascade_at_price
    return chosen(groups[-1], price)


def answer_s(name: str, asked: RouteRequest) -> float:
    """Return how long an answer takes on an idle engine."""
    found = MODELS[VERSIONS.index(name)]
    tokens = asked.request_class.expected_output_tokens
    run_s = found.first_token_s + tokens / found.tokens_per_s
    return run_s + asked.prompt_tokens / 8000


class TestAgainstReference:
    """Guard against stale cache entries and wrongly skipped versions."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        RATINGS,
        st.sampled_from((0.6, 0.8, 0.9)),
        st.sampled_from((9, 16, 22, 60)),
        st.booleans(),
    )
    def test_choice(
        self,
        ratings: list[tuple[str, RequestClass, int, int, bool]],
        target: float,
        deadline_s: float,
        opens_session: bool,
    ) -> None:
        """Choose the cascade of the reference if it meets the deadline."""
        built = build()
        client = customer(quality_target=target, allowed_versions=VERSIONS)
        for version, request_class, score, step, delivered in ratings:
            built.quality.record(
                Rating(
                    version,
                    client.name,
                    request_class.name,
                    score / 20,
                    'r',
                    step,
                ),
                delivered=delivered,
            )
        first = route_request(customer=client, request_class=DRAFT)
        second = route_request(
            customer=client,
            deadline_s=deadline_s,
            opens_session=opens_session,
        )
        built.decide(first, 0)
        chosen = built.decide(second, 0)
        cascade = reference_cascade(built, (first, second))
        total_s = sum(answer_s(step.version, second) for step in cascade.steps)
        total_s += DEFAULT_RATING_DELAY_S * (len(cascade.steps) - 1)
        if not cascade.reaches_goal or total_s > deadline_s:
            return
        assert isinstance(chosen, RouteChosen)
        assert chosen.score_per_credit == cascade.score_per_credit
        steps = tuple(step.version for step in cascade.steps)
        assert (chosen.version, *chosen.cascade) == steps
