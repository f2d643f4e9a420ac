"""Draw the requests of a run and compute true answer scores."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from statistics import NormalDist

from bamboodeck.policybench.workload import (
    ClassSpec,
    CustomerSpec,
    LoadStep,
    VersionBad,
    VersionSpec,
    Workload,
)

TOKEN_COUNT_SIGMA = 0.4
MIN_REQUESTS_PER_S = 1e-6
CONCURRENT_SESSIONS = 16
TOKENS_PER_MTOKEN = 1_000_000
PREFIX_SKEW = 1.5
_GRID_STEPS = 40
_MIN_QUALITY = 0.01
_QUANTILES = tuple(
    NormalDist().inv_cdf((step + 0.5) / _GRID_STEPS)
    for step in range(_GRID_STEPS)
)


@dataclass(frozen=True, slots=True)
class Request:
    """Describe a request and the random deviates of its scores."""

    request_id: str
    at_s: float
    customer: CustomerSpec
    request_class: ClassSpec
    zone: str
    node: int
    input_tokens: int
    output_tokens: int
    prefix_hash: int
    stream: bool
    session: str
    difficulty: float
    score_deviates: dict[str, float]
    rating_deviate: float
    rated: bool


def draw_requests(workload: Workload, seed: int) -> Iterator[Request]:
    """Draw the requests of a seed, which are the same for all policies."""
    rng = random.Random(seed)
    generator = _RequestGenerator(workload, rng)
    settings = workload.settings
    at_s = 0.0
    while True:
        rate = settings.requests_per_s * _load_factor(workload, at_s)
        at_s += rng.expovariate(max(rate, MIN_REQUESTS_PER_S))
        if at_s >= settings.duration_s:
            return
        yield generator.draw(at_s)


class _RequestGenerator:
    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._workload = workload
        self._random = rng
        self._zones = sorted({each.zone for each in workload.engines})
        self._customer_shares = [each.share for each in workload.customers]
        self._class_shares = [each.share for each in workload.classes]
        self._count = 0

    def draw(self, at_s: float) -> Request:
        rng = self._random
        workload = self._workload
        settings = workload.settings
        self._count += 1
        request_class = rng.choices(workload.classes, self._class_shares)[0]
        customer = rng.choices(workload.customers, self._customer_shares)[0]
        prefix = int(settings.prefixes * rng.random() ** PREFIX_SKEW)
        session = ''
        if rng.random() < settings.session_share:
            epoch = int(at_s / settings.session_s)
            session = '{0}-{1}-{2}-{3}'.format(
                customer.name,
                request_class.name,
                prefix % CONCURRENT_SESSIONS,
                epoch,
            )
        return Request(
            request_id=f'r{self._count}',
            at_s=at_s,
            customer=customer,
            request_class=request_class,
            zone=rng.choice(self._zones),
            node=rng.randrange(settings.nodes_per_zone),
            input_tokens=_draw_token_count(rng, request_class.input_tokens),
            output_tokens=_draw_token_count(rng, request_class.output_tokens),
            prefix_hash=hash((customer.share, prefix)),
            stream=rng.random() < request_class.stream_share,
            session=session,
            difficulty=rng.gauss(0, 1),
            score_deviates={
                each.name: rng.gauss(0, 1) for each in workload.versions
            },
            rating_deviate=rng.gauss(0, 1),
            rated=rng.random() < settings.rated_share,
        )


def true_score(
    workload: Workload,
    version: VersionSpec,
    request: Request,
    now_s: float,
) -> float:
    """Return the true score of a version's answer to a request."""
    quality = mean_quality(workload, version, request, now_s)
    settings = workload.settings
    shared = settings.difficulty_share
    deviate = shared**0.5 * request.difficulty
    deviate += (1 - shared) ** 0.5 * request.score_deviates[version.name]
    location = _find_location(round(quality, 4), settings.score_spread)
    return _sigmoid(location + settings.score_spread * deviate)


def mean_quality(
    workload: Workload,
    version: VersionSpec,
    request: Request,
    now_s: float,
) -> float:
    """Return the mean score of a version for a class and customer."""
    bad = bad_quality(workload, version.name, now_s)
    if bad is not None:
        return bad
    quality = version.quality[request.request_class.name]
    return quality + request.customer.quality_offset


def bad_quality(
    workload: Workload,
    version: str,
    now_s: float,
) -> float | None:
    """Return the mean score that an active fault gives a version, if any."""
    for fault in workload.faults:
        if not isinstance(fault, VersionBad) or fault.version != version:
            continue
        if fault.at_s <= now_s < fault.until_s:
            return fault.quality
    return None


def answer_credits(version: VersionSpec, request: Request) -> float:
    """Return the provider's price of an answer in credits."""
    return (
        request.input_tokens * version.input_credits_per_mtoken
        + request.output_tokens * version.output_credits_per_mtoken
    ) / TOKENS_PER_MTOKEN


def _load_factor(workload: Workload, now_s: float) -> float:
    factor = 1.0
    for fault in workload.faults:
        if not isinstance(fault, LoadStep):
            continue
        if fault.at_s <= now_s < fault.until_s:
            factor *= fault.factor
    return factor


def _draw_token_count(rng: random.Random, mean: int) -> int:
    mu = -TOKEN_COUNT_SIGMA * TOKEN_COUNT_SIGMA / 2
    return max(int(mean * math.exp(rng.gauss(mu, TOKEN_COUNT_SIGMA))), 1)


@lru_cache(maxsize=4096)
def _find_location(quality: float, spread: float) -> float:
    """Find the location at which a logit-normal distribution has a mean."""
    target = min(max(quality, _MIN_QUALITY), 1 - _MIN_QUALITY)
    low, high = -20.0, 20.0
    for _ in range(_GRID_STEPS):
        middle = (low + high) / 2
        total = sum(_sigmoid(middle + spread * each) for each in _QUANTILES)
        if total / _GRID_STEPS < target:
            low = middle
        else:
            high = middle
    return (low + high) / 2


def _sigmoid(number: float) -> float:
    return 1 / (1 + math.exp(-number))
