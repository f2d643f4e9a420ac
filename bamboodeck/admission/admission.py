"""Decide whether a request is admitted."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from bamboodeck.admission.buckets import TokenBucket
from bamboodeck.admission.fairness import Claim, split_fairly
from bamboodeck.admission.limits import LimitShare, Rates
from bamboodeck.admission.messages import (
    AdmissionDecision,
    AdmissionRequest,
    Admitted,
    Refused,
    RefusalCode,
)

BURST_S = 2.0
MIN_BURST_REQUESTS = 1.0
DEMAND_WINDOW_S = 5.0
FAIR_SHARE_PERIOD_S = 0.25
FAIRNESS_LOAD = 0.9
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
SERVICE_SMOOTHING = 0.05

# Multiples of the golden ratio, modulo 1, are spread evenly over the unit
# interval, so refused callers don't retry at the same time.
_GOLDEN_STEP = 0.6180339887


@dataclass(slots=True)
class _CustomerState:
    weight: float
    running: int = 0
    work_s: float = 0.0
    updated_s: float = 0.0
    fair_share: float = math.inf

    def add_work(self, work_s: float, now_s: float) -> None:
        self.work_s = self.demand(now_s) * DEMAND_WINDOW_S + work_s
        self.updated_s = now_s

    def demand(self, now_s: float) -> float:
        """Return the number of streams that recent requests would occupy."""
        age_s = max(now_s - self.updated_s, 0)
        fading = math.exp(-age_s / DEMAND_WINDOW_S)
        return self.work_s * fading / DEMAND_WINDOW_S


class _CustomerBuckets:
    __slots__ = ('requests', 'tokens')

    def __init__(self, rates: Rates, now_s: float) -> None:
        self.requests = TokenBucket(0, 0, now_s)
        self.tokens = TokenBucket(0, 0, now_s)
        self.set_rates(rates, now_s)
        self.requests.refund(self.requests.burst)
        self.tokens.refund(self.tokens.burst)

    def set_rates(self, rates: Rates, now_s: float) -> None:
        request_burst = rates.requests_per_s * BURST_S
        if rates.requests_per_s > 0:
            request_burst = max(request_burst, MIN_BURST_REQUESTS)
        self.requests.set_rate(rates.requests_per_s, request_burst, now_s)
        token_burst = rates.tokens_per_s * BURST_S
        self.tokens.set_rate(rates.tokens_per_s, token_burst, now_s)


class Admission:
    """Admit requests within rate limits, capacity and their deadlines.

    An admitted request counts as running until `finish` is called.
    """

    def __init__(self, capacity_streams: float, max_load: float) -> None:
        """Start without limit shares: every request is refused."""
        self._capacity = capacity_streams
        self._max_load = max_load
        self._buckets: dict[str, _CustomerBuckets] = {}
        self._customers: dict[str, _CustomerState] = {}
        self._running = 0
        self._service_s = 0.0
        self._refusals = 0
        self._fair_shares_updated_s = -math.inf

    @property
    def running(self) -> int:
        """Return the number of admitted requests that have not finished."""
        return self._running

    def set_capacity(self, capacity_streams: float, max_load: float) -> None:
        """Set this node's share of the engine streams and the load limit."""
        self._capacity = capacity_streams
        self._max_load = max_load
        self._fair_shares_updated_s = -math.inf

    def set_shares(self, shares: Iterable[LimitShare], now_s: float) -> None:
        """Update the given limit shares; other customers keep theirs."""
        for share in shares:
            buckets = self._buckets.get(share.customer)
            if buckets is None:
                buckets = _CustomerBuckets(share.rates, now_s)
                self._buckets[share.customer] = buckets
            buckets.set_rates(share.rates, now_s)

    def demands(self, now_s: float) -> tuple[Claim, ...]:
        """Return the number of streams that each customer would occupy."""
        return tuple(
            Claim(name, state.demand(now_s), state.weight)
            for name, state in self._customers.items()
        )

    def decide(
        self,
        request: AdmissionRequest,
        now_s: float,
    ) -> AdmissionDecision:
        """Admit a request and charge it to the limits, or refuse it."""
        state = self._record_demand(request, now_s)
        refused = self._check_limits(request, now_s)
        if refused is None:
            refused = self._check_load(request, state, now_s)
        if refused is not None:
            self._refusals += 1
            return refused
        buckets = self._buckets[request.customer]
        buckets.requests.take(1)
        buckets.tokens.take(request.tokens)
        state.running += 1
        self._running += 1
        return Admitted(self._wait_s())

    def finish(self, customer: str, service_s: float) -> None:
        """Record the end of an admitted request and its time on an engine."""
        state = self._customers[customer]
        state.running = max(state.running - 1, 0)
        self._running = max(self._running - 1, 0)
        if not self._service_s:
            self._service_s = service_s
        self._service_s += SERVICE_SMOOTHING * (service_s - self._service_s)

    def refund_tokens(self, customer: str, tokens: float) -> None:
        """Refund tokens that were charged but not used by the answer."""
        self._buckets[customer].tokens.refund(tokens)

    def _record_demand(
        self,
        request: AdmissionRequest,
        now_s: float,
    ) -> _CustomerState:
        state = self._customers.get(request.customer)
        if state is None:
            state = _CustomerState(request.weight)
            self._customers[request.customer] = state
        state.weight = request.weight
        # A request takes up capacity while it waits, too.
        stay_s = self._wait_s() + (self._service_s or request.expected_s)
        state.add_work(stay_s, now_s)
        return state

    def _check_limits(
        self,
        request: AdmissionRequest,
        now_s: float,
    ) -> Refused | None:
        buckets = self._buckets.get(request.customer)
        if buckets is None:
            return self._refuse(
                RefusalCode.NO_SHARE,
                f'this node has no limit share of "{request.customer}" yet',
                MIN_RETRY_AFTER_S,
            )
        wait_s = buckets.requests.wait_s(1, now_s)
        if wait_s > 0:
            return self._refuse(
                RefusalCode.REQUEST_RATE,
                f'"{request.customer}" exceeds its requests per second',
                wait_s,
            )
        wait_s = buckets.tokens.wait_s(request.tokens, now_s)
        if wait_s > 0:
            return self._refuse(
                RefusalCode.TOKEN_RATE,
                f'"{request.customer}" exceeds its tokens per second',
                wait_s,
            )
        return None

    def _check_load(
        self,
        request: AdmissionRequest,
        state: _CustomerState,
        now_s: float,
    ) -> Refused | None:
        bound = self._capacity * self._max_load
        if self._running + 1 > bound:
            return self._refuse(
                RefusalCode.OVERLOADED,
                f'all {bound:.0f} request slots are in use',
                self._wait_s() + self._service_s,
            )
        if self._running + 1 > FAIRNESS_LOAD * bound:
            self._update_fair_shares(bound, now_s)
            if state.running + 1 > max(state.fair_share, 1):
                return self._refuse(
                    RefusalCode.FAIR_SHARE,
                    f'"{request.customer}" uses its fair share of the capacity',
                    self._service_s,
                )
        wait_s = self._wait_s()
        if wait_s + request.expected_s <= request.deadline_s:
            return None
        return self._refuse(
            RefusalCode.DEADLINE,
            f'the answer would take {wait_s + request.expected_s:.1f} s',
            wait_s,
        )

    def _wait_s(self) -> float:
        waiting = self._running - self._capacity
        if waiting < 0 or self._capacity <= 0:
            return 0.0
        return (waiting + 1) * self._service_s / self._capacity

    def _update_fair_shares(self, bound: float, now_s: float) -> None:
        if now_s - self._fair_shares_updated_s < FAIR_SHARE_PERIOD_S:
            return
        self._fair_shares_updated_s = now_s
        claims = self.demands(now_s)
        satisfied = sum(claim.demand for claim in claims) <= bound
        parts = split_fairly(claims, bound)
        for name, state in self._customers.items():
            state.fair_share = math.inf if satisfied else math.ceil(parts[name])

    def _refuse(
        self,
        code: RefusalCode,
        message: str,
        wait_s: float,
    ) -> Refused:
        spread = math.modf(self._refusals * _GOLDEN_STEP)[0]
        retry_after_s = max(wait_s, MIN_RETRY_AFTER_S) * (1 + spread)
        return Refused(code, message, min(retry_after_s, MAX_RETRY_AFTER_S))
