"""Cache each customer's score price and the cascades planned at it."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboodeck.cascade.optimizer import (
    Candidate,
    Cascade,
    RequestGroup,
    ScorePrice,
    cascade_at_price,
    direct_at_price,
    find_price,
)
from bamboodeck.configuration.model import Model, Preset
from bamboodeck.quality.estimator import ALL_CLASSES, QualityEstimator
from bamboodeck.quality.goal import correction_window
from bamboodeck.routing.mechanisms import Mechanisms
from bamboodeck.routing.messages import RouteRequest

MAX_ENTRIES = 10_000
MAX_GROUPS = 32
MIN_NEW_RATINGS = 3
NEW_RATINGS_SHARE = 0.05
CORRECTION_RATINGS_SHARE = 0.1
MAX_NEW_RATINGS = 400

_EntryKey = tuple[str, float, str, str]
_GroupKey = tuple[str, bool, tuple[str, ...]]
_Costs = tuple[tuple[str, float], ...]
_FindCosts = Callable[[], _Costs]


@dataclass(slots=True)
class _Entry:
    """Cache the price and cascades that follow from a customer's scores."""

    costs: dict[_GroupKey, _Costs] = field(default_factory=dict)
    cascades: dict[tuple[_GroupKey, bool], Cascade] = field(
        default_factory=dict
    )
    groups: dict[_GroupKey, RequestGroup] = field(default_factory=dict)
    price: ScorePrice | None = None
    refresh_at_delivered: float = 0.0
    refresh_at_recorded: int = 0


class CascadeCache:
    """Cache prices and cascades until enough new ratings have arrived."""

    def __init__(
        self,
        quality: QualityEstimator,
        mechanisms: Mechanisms,
    ) -> None:
        """Start with an empty cache."""
        self._quality = quality
        self._mechanisms = mechanisms
        self._entries: dict[_EntryKey, _Entry] = {}

    def find(
        self,
        request: RouteRequest,
        models: tuple[Model, ...],
        preset: Preset,
        find_costs: _FindCosts,
        *,
        direct: bool,
    ) -> Cascade:
        """Return the best cascade at the customer's score price.

        With `direct`, the cascade has a single step. `find_costs` returns the
        cost of each version in credits; it is called only if the cache holds
        no costs for the request's class, stream flag and versions.
        """
        entry = self._find_entry(request, preset)
        key = (
            request.request_class.name,
            request.stream,
            tuple([model.name for model in models]),
        )
        if key not in entry.costs:
            _add_costs(entry, key, find_costs())
        if self._is_stale(request, entry):
            self._refresh(request, entry, preset)
        found = entry.cascades.get((key, direct))
        if found is None:
            chosen = direct_at_price if direct else cascade_at_price
            found = chosen(entry.groups[key], entry.price)
            entry.cascades[key, direct] = found
        return found

    def clear(self) -> None:
        """Drop all cached prices and cascades."""
        self._entries.clear()

    def _find_entry(
        self,
        request: RouteRequest,
        preset: Preset,
    ) -> _Entry:
        customer = request.customer
        key = (
            customer.name,
            customer.quality_target,
            preset.name,
            self._class_name(request),
        )
        entry = self._entries.get(key)
        if entry is None:
            if len(self._entries) >= MAX_ENTRIES:
                self._entries.pop(next(iter(self._entries)))
            entry = _Entry()
            self._entries[key] = entry
        return entry

    def _class_name(self, request: RouteRequest) -> str:
        if self._mechanisms.pool_classes:
            return ALL_CLASSES
        return request.request_class.name

    def _is_stale(self, request: RouteRequest, entry: _Entry) -> bool:
        if entry.price is None:
            return True
        if self._quality.recorded_count >= entry.refresh_at_recorded:
            return True
        delivered = self._quality.delivered(
            request.customer.name,
            self._class_name(request),
        )
        return delivered.count >= entry.refresh_at_delivered

    def _refresh(
        self,
        request: RouteRequest,
        entry: _Entry,
        preset: Preset,
    ) -> None:
        customer = request.customer
        group_counts = Counter(key[0] for key in entry.costs)
        entry.groups = {
            key: self._group(
                request,
                key,
                (costs, group_counts[key[0]]),
                preset,
            )
            for key, costs in entry.costs.items()
        }
        class_name = self._class_name(request)
        goal = self._quality.goal(customer, class_name, preset.confidence)
        guess = entry.price.score_per_credit if entry.price else 0.0
        entry.price = find_price(tuple(entry.groups.values()), goal, guess)
        entry.cascades.clear()
        delivered = self._quality.delivered(customer.name, class_name)
        # The goal must be refreshed well within the correction window, as one
        # that lags behind the answers it corrects would oscillate.
        new_ratings = min(
            delivered.count * NEW_RATINGS_SHARE + MIN_NEW_RATINGS,
            correction_window(delivered.count) * CORRECTION_RATINGS_SHARE,
        )
        entry.refresh_at_delivered = delivered.count + new_ratings
        entry.refresh_at_recorded = (
            self._quality.recorded_count + MAX_NEW_RATINGS
        )

    def _group(
        self,
        request: RouteRequest,
        key: _GroupKey,
        costs_and_count: tuple[_Costs, int],
        preset: Preset,
    ) -> RequestGroup:
        costs, group_count = costs_and_count
        class_name = key[0]
        customer = request.customer
        delivered = self._quality.delivered(customer.name, class_name)
        candidates = tuple(
            Candidate(
                version,
                cost_credits,
                self._quality.scores(version, customer.name, class_name),
                self._quality.later_scores(version, customer.name, class_name),
            )
            for version, cost_credits in costs
        )
        floor = customer.quality_target - preset.floor_gap
        return RequestGroup(
            (delivered.count + 1) / group_count, candidates, floor
        )


def _add_costs(entry: _Entry, key: _GroupKey, costs: _Costs) -> None:
    if len(entry.costs) >= MAX_GROUPS:
        entry.costs.pop(next(iter(entry.costs)))
    entry.costs[key] = costs
    entry.price = None
