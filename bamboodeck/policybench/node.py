"""Simulate one entry host with its router."""

import random
from dataclasses import replace

from bamboodeck.cascade.judge import judge_step
from bamboodeck.cascade.messages import (
    RatingArrived,
    RatingOutcome,
    StepVerdict,
)
from bamboodeck.configuration.model import Configuration
from bamboodeck.policybench.building import build_classes, build_customers
from bamboodeck.policybench.policies import (
    Policy,
    RoundRobin,
    VersionPicker,
    mechanisms_of,
)
from bamboodeck.policybench.scenario import Request
from bamboodeck.policybench.workload import FOREVER_S, Workload
from bamboodeck.quality.messages import QualitySnapshot, Rating
from bamboodeck.routing.messages import (
    RouteChosen,
    RouteDecision,
    RouteRequest,
)
from bamboodeck.routing.router import Router


class AdmitAllGate:
    """Admit all roll-out requests; the policy fixes their percentage."""

    def admit(self, version: str, weight: float, now_s: float) -> bool:
        """Return True."""
        return True


class Node:
    """Route requests with the production code of an entry process."""

    def __init__(
        self,
        workload: Workload,
        configuration: Configuration,
        policy: Policy,
        location: tuple[str, str],
        rng: random.Random,
    ) -> None:
        """Create the router, without any ratings."""
        region, zone = location
        self.zone = zone
        self.stale_after_s = configuration.stale_after_s
        self.router = Router(
            configuration,
            region,
            zone,
            rng,
            mechanisms_of(policy),
        )
        self.router.set_rating_delay(workload.settings.rating_delay_s)
        self._rating_delay_s = workload.settings.rating_delay_s
        if isinstance(policy, RoundRobin):
            self.router.set_rollout_admission(AdmitAllGate())
        self._picker = VersionPicker(policy, configuration, rng)
        self._customers = build_customers(workload)
        self._classes = build_classes(workload)

    def decide(
        self,
        request: Request,
        session_version: str | None,
        excluded: frozenset[str],
        now_s: float,
    ) -> RouteDecision:
        """Choose the version and engine of a request's first step."""
        remaining_s = request.request_class.deadline_s - (now_s - request.at_s)
        base = self._build_route_request(request, remaining_s, excluded)
        opens_session = bool(request.session) and session_version is None
        route_request = replace(
            base,
            session_version=session_version,
            requested_model=self._picker.pick(base),
            opens_session=opens_session,
        )
        return self.router.decide(route_request, now_s)

    def decide_next(
        self,
        request: Request,
        version: str,
        excluded: frozenset[str],
        now_s: float,
    ) -> RouteDecision:
        """Choose the engine of a cascade's next step."""
        base = self._build_route_request(request, FOREVER_S, excluded)
        route_request = replace(base, requested_model=version)
        return self.router.decide(route_request, now_s)

    def judge(
        self,
        request: Request,
        chosen: RouteChosen,
        outcome: RatingOutcome,
    ) -> StepVerdict:
        """Judge a held answer and update the known rating delay."""
        route_request = self._build_route_request(
            request, FOREVER_S, frozenset()
        )
        verdict = judge_step(
            outcome,
            chosen.acceptance_scores[0],
            request.customer.quality_target,
            self.router.lower_bound(route_request, chosen.version),
            chosen.cascade,
        )
        match outcome:
            case RatingArrived():
                self.router.set_rating_delay(self._rating_delay_s)
            case _:
                self.router.set_rating_delay(None)
        return verdict

    def on_rating(self, rating: Rating, *, delivered: bool) -> None:
        """Record a rating that arrived."""
        self.router.set_rating_delay(self._rating_delay_s)
        self.router.quality.record(rating, delivered=delivered)

    def on_snapshots(self, snapshots: tuple[QualitySnapshot, ...]) -> None:
        """Merge the rating snapshots of other nodes."""
        for snapshot in snapshots:
            self.router.quality.merge(snapshot)

    def exposure_weight_of(self, customer: str, request_class: str) -> float:
        """Return the exposure weight of a request."""
        weight = self._classes[request_class].exposure_weight
        return weight * self._customers[customer].weight

    def _build_route_request(
        self,
        request: Request,
        deadline_s: float,
        excluded: frozenset[str],
    ) -> RouteRequest:
        return RouteRequest(
            request_id=request.request_id,
            customer=self._customers[request.customer.name],
            request_class=self._classes[request.request_class.name],
            session_version=None,
            requested_model=None,
            prompt_tokens=request.input_tokens,
            prefix_hash=request.prefix_hash,
            stream=request.stream,
            deadline_s=deadline_s,
            excluded_engines=excluded,
        )
