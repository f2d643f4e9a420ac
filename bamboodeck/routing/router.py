"""Route each request to a version and an engine."""

import random
from collections.abc import Callable
from dataclasses import replace

from bamboodeck.configuration.model import Configuration
from bamboodeck.quality.estimator import QualityEstimator
from bamboodeck.routing.decider import Decider
from bamboodeck.routing.eligibility import EligibleVersions, VersionCatalogue
from bamboodeck.routing.engine_choice import EngineChooser
from bamboodeck.routing.fleet import Fleet
from bamboodeck.routing.mechanisms import ALL_MECHANISMS, Mechanisms
from bamboodeck.routing.messages import (
    CacheEvent,
    CreditPrice,
    EngineLoad,
    RouteDecision,
    RouteRequest,
    RouteRefused,
)
from bamboodeck.routing.options import DecisionInputs
from bamboodeck.routing.prefixes import PrefixIndex
from bamboodeck.routing.rollout_gate import RolloutGate
from bamboodeck.routing.tracked_engine import TrackedEngine

DEFAULT_RATING_DELAY_S = 0.5

OnDecided = Callable[[RouteRequest, EligibleVersions, RouteDecision], None]


class Router:
    """Route requests by the configuration and reports known to a node."""

    def __init__(
        self,
        configuration: Configuration,
        region: str,
        zone: str,
        rng: random.Random,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        """Start from a configuration, without ratings or load reports."""
        self.quality = QualityEstimator()
        self._fleet = Fleet(region, zone, rng)
        self.on_decided: OnDecided = _ignore_decision
        self._prefixes = PrefixIndex()
        self._blocked: dict[str, str] = {}
        self._fresh = True
        self._decider = Decider(
            self.quality,
            EngineChooser(self._fleet, self._prefixes, rng),
            self._prefixes,
            DecisionInputs(configuration.preset, {}, DEFAULT_RATING_DELAY_S),
            rng,
            mechanisms,
        )
        self.apply_configuration(configuration)

    def decide(
        self,
        request: RouteRequest,
        now_s: float,
    ) -> RouteDecision:
        """Choose a version and an engine, or refuse the request."""
        eligible = self._catalogue.eligible(request)
        if isinstance(eligible, RouteRefused):
            return eligible
        decision = self._decider.decide(request, eligible, now_s)
        self.on_decided(request, eligible, decision)
        return decision

    def apply_configuration(self, configuration: Configuration) -> None:
        """Switch to a new configuration revision."""
        self._configuration = configuration
        self._fleet.apply_configuration(configuration)
        self._update_inputs(preset=configuration.preset)
        for model in configuration.models:
            self.quality.set_prior(model.name, model.expected_quality)
        self._rebuild_catalogue()

    def set_fresh(self, fresh: bool) -> None:
        """Set whether the configuration is recent; if not, stop roll-outs."""
        if fresh != self._fresh:
            self._fresh = fresh
            self._rebuild_catalogue()

    def set_rating_delay(self, rating_delay_s: float | None) -> None:
        """Set how long a rating takes in seconds; None turns cascades off."""
        self._update_inputs(rating_delay_s=rating_delay_s)

    def set_credit_price(self, prices: tuple[CreditPrice, ...]) -> None:
        """Replace the credit prices of all providers."""
        by_provider = {each.provider: each.price for each in prices}
        if by_provider == self._decider.inputs.prices:
            return
        self._update_inputs(prices=by_provider)
        self._decider.cascades.clear()

    def set_rollout_admission(self, gate: RolloutGate) -> None:
        """Set the gate that admits requests to versions in roll-out."""
        self._decider.gate = gate

    def block_version(self, version: str, reason: str) -> None:
        """Stop using a version on this node immediately."""
        self._blocked[version] = reason
        self._rebuild_catalogue()

    def unblock_version(self, version: str) -> None:
        """Use a blocked version again."""
        if self._blocked.pop(version, None) is not None:
            self._rebuild_catalogue()

    def on_load_report(self, report: EngineLoad) -> None:
        """Apply a load report, which may be delayed."""
        tracked = self._fleet.find(report.engine)
        if tracked is None:
            return
        was_lost = tracked.lost_until_s > 0
        tracked.on_load_report(report)
        if was_lost and not tracked.lost_until_s:
            self._prefixes.restore_engine(report.engine)
            self._fleet.invalidate_subsets(tracked)

    def on_versions_held(self, engine: str, versions: frozenset[str]) -> None:
        """Set the versions that an engine reports as loaded."""
        tracked = self._fleet.find(engine)
        if tracked is not None:
            self._fleet.set_versions(tracked, versions)

    def tracked_engines(self) -> tuple[TrackedEngine, ...]:
        """Return the tracked state of all engines."""
        return self._fleet.engines()

    def on_cache_event(self, event: CacheEvent, now_s: float) -> None:
        """Apply a prefix cache event, which may be delayed."""
        self._prefixes.on_cache_event(event, now_s)

    def on_dispatched(
        self,
        engine: str,
        request_id: str,
        now_s: float,
    ) -> None:
        """Count a request as in flight on an engine."""
        tracked = self._fleet.find(engine)
        if tracked is not None:
            tracked.on_dispatched(request_id, now_s)

    def on_finished(
        self,
        engine: str,
        request_id: str,
        now_s: float,
        ok: bool,
    ) -> None:
        """Count a request as ended, whether or not it succeeded."""
        tracked = self._fleet.find(engine)
        if tracked is not None:
            tracked.on_finished(request_id, now_s)

    def on_engine_lost(self, engine: str, now_s: float) -> None:
        """Stop using a lost engine for a time or until it reports again."""
        tracked = self._fleet.find(engine)
        if tracked is None:
            return
        tracked.on_lost(now_s)
        self._prefixes.invalidate_engine(engine)
        self._fleet.invalidate_subsets(tracked)

    def on_engine_leaving(self, engine: str) -> None:
        """Send no new requests to an engine that is leaving."""
        self._set_leaving(engine, leaving=True)

    def on_engine_back(self, engine: str) -> None:
        """Use an engine again that was leaving."""
        self._set_leaving(engine, leaving=False)

    def lower_bound(self, request: RouteRequest, version: str) -> float:
        """Return a version's quality lower bound at the preset's confidence."""
        return self.quality.lower_bound(
            version,
            request.customer.name,
            request.request_class.name,
            self._configuration.preset.confidence,
        )

    def _set_leaving(self, engine: str, *, leaving: bool) -> None:
        tracked = self._fleet.find(engine)
        if tracked is None or tracked.leaving == leaving:
            return
        tracked.leaving = leaving
        self._fleet.invalidate_subsets(tracked)

    def _update_inputs(self, **changes) -> None:
        self._decider.inputs = replace(self._decider.inputs, **changes)

    def _rebuild_catalogue(self) -> None:
        self._catalogue = VersionCatalogue(
            self._configuration,
            self._blocked,
            fresh=self._fresh,
        )
        # Cached cascades may name versions that are no longer eligible.
        self._decider.cascades.clear()


def _ignore_decision(
    request: RouteRequest,
    eligible: EligibleVersions,
    decision: RouteDecision,
) -> None:
    """Do nothing."""
