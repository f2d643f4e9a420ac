"""Define the routing policies that an experiment compares."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from bamboodeck.configuration.model import (
    Configuration,
    Customer,
    Model,
    Preset,
    VersionState,
)
from bamboodeck.routing.mechanisms import ALL_MECHANISMS, Mechanisms
from bamboodeck.routing.messages import RouteRequest

MEAN_CONFIDENCE = 0.5


@dataclass(frozen=True)
class BestAlways:
    """Pick the version with the highest expected quality."""


@dataclass(frozen=True)
class CheapestAlways:
    """Pick the version with the lowest price."""


@dataclass(frozen=True)
class RandomAllowed:
    """Pick a random allowed version."""


@dataclass(frozen=True)
class RoundRobin:
    """Rotate steady versions; pick roll-outs at a fixed percentage."""

    rollout_percent: float = 10


@dataclass(frozen=True)
class Routed:
    """Use the router, with some mechanisms disabled or changed."""

    cascade: bool = True
    confidence: float | None = None
    explore: bool = True
    safety: bool = True
    mechanisms: Mechanisms = ALL_MECHANISMS


@dataclass(frozen=True)
class Clairvoyant:
    """Compute a cost bound from known scores; not a usable policy.

    The quality target applies to each customer, or with `by_class` to each
    request class of a customer.
    """

    by_class: bool = False


Policy = (
    BestAlways
    | CheapestAlways
    | RandomAllowed
    | RoundRobin
    | Routed
    | Clairvoyant
)

POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        'best': BestAlways(),
        'cheapest': CheapestAlways(),
        'random': RandomAllowed(),
        'round-robin': RoundRobin(),
        'mean': Routed(
            cascade=False, confidence=MEAN_CONFIDENCE, explore=False
        ),
        'no-cascade': Routed(cascade=False),
        'no-explore': Routed(explore=False),
        'no-safety': Routed(safety=False),
        'no-account': Routed(mechanisms=Mechanisms(pool_classes=False)),
        'no-priced-sessions': Routed(
            mechanisms=Mechanisms(priced_sessions=False),
        ),
        'bamboodeck': Routed(),
        'clairvoyant': Clairvoyant(),
        'clairvoyant-class': Clairvoyant(by_class=True),
    }
)


class VersionPicker:
    """Pick versions for the baselines that bypass the router's choice."""

    def __init__(
        self,
        policy: Policy,
        configuration: Configuration,
        rng: random.Random,
    ) -> None:
        """Pick by the policy for one node."""
        self._policy = policy
        self._models = configuration.models_by_name
        self._random = rng
        self._turn = 0

    def pick(self, request: RouteRequest) -> str | None:
        """Return a version name, or None to let the router choose."""
        steady, rollouts = self._allowed(request.customer)
        match self._policy:
            case BestAlways():
                return max(steady, key=_expected_quality).name
            case CheapestAlways():
                return min(steady, key=_price).name
            case RandomAllowed():
                return self._random.choice(steady).name
            case RoundRobin(percent):
                if rollouts and self._random.random() * 100 < percent:
                    return self._random.choice(rollouts).name
                self._turn += 1
                return steady[self._turn % len(steady)].name
            case _:
                return None

    def _allowed(self, customer: Customer) -> tuple[list[Model], list[Model]]:
        allowed = [
            self._models[name]
            for name in customer.allowed_versions
            if name in self._models
        ]
        steady = [
            model for model in allowed if model.state is VersionState.STEADY
        ]
        rollouts = [
            model for model in allowed if model.state is VersionState.ROLLOUT
        ]
        return steady, rollouts


def adapt_preset(preset: Preset, policy: Policy) -> Preset:
    """Return the preset with a policy's changes applied."""
    match policy:
        case Routed(cascade, confidence, explore):
            return replace(
                preset,
                cascade=preset.cascade and cascade,
                confidence=confidence or preset.confidence,
                explore_share=preset.explore_share * explore,
            )
        case _:
            return preset


def mechanisms_of(policy: Policy) -> Mechanisms:
    """Return the router mechanisms that a policy enables."""
    match policy:
        case Routed(mechanisms=mechanisms):
            return mechanisms
        case _:
            return ALL_MECHANISMS


def _expected_quality(model: Model) -> float:
    return model.expected_quality


def _price(model: Model) -> float:
    return model.output_credits_per_mtoken + model.input_credits_per_mtoken
