"""Simulate how entry hosts serve requests, on a virtual clock."""

import random
from dataclasses import replace

from bamboodeck.cascade.messages import (
    AnswerAccepted,
    NextVersion,
    RatingArrived,
    RatingLate,
    RatingOutcome,
)
from bamboodeck.configuration.model import Configuration
from bamboodeck.policybench import events
from bamboodeck.policybench.engine import Attempt, FakeEngine
from bamboodeck.policybench.node import Node
from bamboodeck.policybench.outcome import Tally
from bamboodeck.policybench.platform import Platform
from bamboodeck.policybench.policies import Policy, Routed
from bamboodeck.policybench.safety import FleetController
from bamboodeck.policybench.scenario import (
    Request,
    answer_credits,
    bad_quality,
    true_score,
)
from bamboodeck.policybench.workload import Workload
from bamboodeck.quality.messages import Rating
from bamboodeck.routing.messages import RouteChosen, RouteRefused

RATING_TIMEOUT_S = 2.0
MAX_RETRIES = 2


class Serving:
    """Serve requests on simulated nodes and engines."""

    def __init__(
        self,
        workload: Workload,
        configuration: Configuration,
        policy: Policy,
        rng: random.Random,
    ) -> None:
        """Build the nodes and the platform."""
        self.clock = events.VirtualClock()
        self.platform = Platform(workload, configuration)
        self.tally = Tally(
            {each.name: each.quality_target for each in workload.customers},
        )
        self.in_flight_count = 0
        self._workload = workload
        self._random = rng
        self._versions = {each.name: each for each in workload.versions}
        self._models = configuration.models_by_name
        self._sessions: dict[str, str] = {}
        locations = sorted(
            {(each.region, each.zone) for each in workload.engines}
        )
        self._zones = [zone for _, zone in locations]
        self.nodes = [
            Node(workload, configuration, policy, location, rng)
            for location in locations
            for _ in range(workload.settings.nodes_per_zone)
        ]
        self.controller: FleetController | None = None
        if isinstance(policy, Routed) and policy.safety:
            self.controller = FleetController(configuration, self.nodes)
            self.tally.withdrawn_s = self.controller.withdrawn_s

    def on_arrived(self, request: Request) -> None:
        """Route a new request."""
        self.tally.requests += 1
        node = self._zones.index(request.zone)
        node = node * self._workload.settings.nodes_per_zone + request.node
        self.in_flight_count += 1
        self._decide_first(request, node, frozenset(), 0)

    def _decide_first(
        self,
        request: Request,
        node: int,
        excluded: frozenset[str],
        retries: int,
    ) -> None:
        decision = self.nodes[node].decide(
            request,
            self._sessions.get(request.session),
            excluded,
            self.clock.now_s,
        )
        match decision:
            case RouteRefused(code):
                self.in_flight_count -= 1
                self.tally.refused += 1
                self.tally.refusals[code.value] += 1
            case RouteChosen():
                if decision.cascade:
                    self.tally.cascaded += 1
                attempt = self._build_attempt(request, node, decision, 0)
                attempt.retries = retries
                self._dispatch(attempt, decision, excluded)

    def _build_attempt(
        self,
        request: Request,
        node: int,
        decision: RouteChosen,
        step: int,
    ) -> Attempt:
        return Attempt(
            request=request,
            model=self._models[decision.version],
            chosen=decision,
            step=step,
            node=node,
        )

    def _dispatch(
        self,
        attempt: Attempt,
        decision: RouteChosen,
        excluded: frozenset[str],
    ) -> None:
        node = self.nodes[attempt.node]
        engine = self.platform.engines[decision.engine]
        attempt.engine = decision.engine
        if not self.platform.reaches(node.zone, engine):
            node.router.on_engine_lost(decision.engine, self.clock.now_s)
            self._retry(attempt, excluded | {decision.engine})
            return
        node.router.on_dispatched(
            decision.engine,
            attempt.request.request_id,
            self.clock.now_s,
        )
        engine.enqueue(attempt)
        self._start_queued(engine)

    def _start_queued(self, engine: FakeEngine) -> None:
        settings = self._workload.settings
        while True:
            started = engine.start_next(self.clock.now_s)
            if started is None:
                return
            attempt, ends_s = started
            for cache_event in engine.cache_prefix(attempt.request.prefix_hash):
                if self._random.random() < settings.cache_gap_share:
                    continue
                changed = events.CacheChanged(cache_event)
                self.clock.after(settings.cache_lag_s, changed)
            self.clock.at(ends_s, events.AnswerGenerated(engine, attempt))

    def _retry(self, attempt: Attempt, excluded: frozenset[str]) -> None:
        if attempt.retries >= MAX_RETRIES:
            self.in_flight_count -= 1
            self.tally.failed += 1
            return
        attempt.retries += 1
        if attempt.step:
            self._run_step(attempt, attempt.chosen, excluded)
            return
        self._decide_first(
            attempt.request,
            attempt.node,
            excluded,
            attempt.retries,
        )

    def on_generated(self, engine: FakeEngine, attempt: Attempt) -> None:
        """Send a generated answer, or hold it until it is rated."""
        if not attempt.alive:
            return
        engine.finish(attempt)
        self._start_queued(engine)
        node = self.nodes[attempt.node]
        request = attempt.request
        node.router.on_finished(
            engine.engine.name,
            request.request_id,
            self.clock.now_s,
            ok=True,
        )
        version = self._versions[attempt.model.name]
        cost_credits = answer_credits(version, request)
        self.tally.add_cost(request.customer.name, cost_credits)
        if not attempt.chosen.cascade:
            self._add_cost_part(attempt, attempt.role)
            self._deliver(attempt)
        self._request_rating(attempt)

    def _add_cost_part(self, attempt: Attempt, role: str) -> None:
        request = attempt.request
        version = self._versions[attempt.model.name]
        self.tally.add_cost_part(
            request.request_class.name,
            version.name,
            role,
            answer_credits(version, request),
        )

    def _request_rating(self, attempt: Attempt) -> None:
        node = self.nodes[attempt.node]
        request = attempt.request
        settings = self._workload.settings
        if not self.platform.is_rating_available(node.zone):
            if attempt.chosen.cascade:
                late = events.StepRated(attempt, RatingLate())
                self.clock.after(RATING_TIMEOUT_S, late)
            return
        raw_score = self._true_score(attempt) + self.platform.rating_bias()
        raw_score += settings.rating_noise * request.rating_deviate
        score = min(max(raw_score, 0), 1)
        if attempt.chosen.cascade:
            event = events.StepRated(attempt, RatingArrived(score))
            self.clock.after(settings.rating_delay_s, event)
            return
        if request.rated:
            rating = self._rating(attempt, score)
            self.clock.after(
                settings.rating_delay_s,
                events.AnswerRated(attempt.node, rating),
            )

    def on_rating(
        self,
        node: int,
        rating: Rating,
        *,
        delivered: bool = True,
    ) -> None:
        """Pass a rating to the fleet controller and the node."""
        if self.controller is not None:
            self.controller.on_rating(node, rating, self.clock.now_s)
        self.nodes[node].on_rating(rating, delivered=delivered)

    def on_step_rated(self, attempt: Attempt, outcome: RatingOutcome) -> None:
        """Deliver a held answer or run the next step of its cascade."""
        node = self.nodes[attempt.node]
        verdict = node.judge(attempt.request, attempt.chosen, outcome)
        if isinstance(outcome, RatingArrived):
            self.on_rating(
                attempt.node,
                self._rating(attempt, outcome.score),
                delivered=isinstance(verdict, AnswerAccepted),
            )
        match verdict:
            case AnswerAccepted():
                self._add_cost_part(attempt, 'cascade_kept')
                self._deliver(attempt)
            case NextVersion(next_version, remaining):
                self.tally.replaced += 1
                self._add_cost_part(attempt, 'cascade_dropped')
                plan = replace(
                    attempt.chosen,
                    version=next_version,
                    cascade=remaining,
                    acceptance_scores=attempt.chosen.acceptance_scores[1:],
                )
                attempt.step += 1
                self._run_step(attempt, plan, frozenset())

    def _run_step(
        self,
        attempt: Attempt,
        plan: RouteChosen,
        excluded: frozenset[str],
    ) -> None:
        """Dispatch a later step; take its number and retries from `attempt`."""
        decision = self.nodes[attempt.node].decide_next(
            attempt.request,
            plan.version,
            excluded,
            self.clock.now_s,
        )
        match decision:
            case RouteRefused(code):
                self.in_flight_count -= 1
                self.tally.failed += 1
                self.tally.refusals[code.value] += 1
            case RouteChosen():
                chosen = replace(
                    decision,
                    cascade=plan.cascade,
                    acceptance_scores=plan.acceptance_scores,
                )
                next_attempt = self._build_attempt(
                    attempt.request,
                    attempt.node,
                    chosen,
                    attempt.step,
                )
                next_attempt.retries = attempt.retries
                self._dispatch(next_attempt, decision, excluded)

    def _deliver(self, attempt: Attempt) -> None:
        self.in_flight_count -= 1
        request = attempt.request
        now_s = self.clock.now_s
        # A held answer is sent at once: its first token comes with its last.
        held = bool(attempt.chosen.cascade)
        first_s = now_s if held or not request.stream else attempt.first_token_s
        answer_s = now_s - request.at_s
        self.tally.in_deadline += answer_s <= request.request_class.deadline_s
        if request.session:
            self._sessions.setdefault(request.session, attempt.model.name)
        self.tally.add_answer(
            request.customer.name,
            attempt.model.name,
            self._true_score(attempt),
            first_s - request.at_s,
            answer_s,
        )
        bad = bad_quality(self._workload, attempt.model.name, attempt.started_s)
        if bad is not None:
            weight = request.request_class.exposure_weight
            self.tally.exposed_weight += weight * request.customer.weight

    def _true_score(self, attempt: Attempt) -> float:
        return true_score(
            self._workload,
            self._versions[attempt.model.name],
            attempt.request,
            attempt.started_s,
        )

    def _rating(self, attempt: Attempt, score: float) -> Rating:
        return Rating(
            attempt.model.name,
            attempt.request.customer.name,
            attempt.request.request_class.name,
            score,
            attempt.request.request_id,
            attempt.step,
        )

    def retry_dropped(self, engine: FakeEngine, dropped: list[Attempt]) -> None:
        """Retry the attempts of a lost engine on other engines."""
        for attempt in dropped:
            attempt.alive = False
            router = self.nodes[attempt.node].router
            name = engine.engine.name
            now_s = self.clock.now_s
            router.on_finished(
                name, attempt.request.request_id, now_s, ok=False
            )
            router.on_engine_lost(name, now_s)
            self._retry(attempt, frozenset((name,)))
