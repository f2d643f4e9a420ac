"""Decide which request goes next, which is rejected, and when to come back.

Load pattern: requests of one service need more work than its engines do. A
burst of one kind, a customer with many times its usual load, callers that
repeat at once, or one hot key must cost the other callers little. All functions
are pure; nothing here is used for a service without waiting requests, except
the predictions that it will need.
"""

import enum
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

# Expected benefit of an answer after its latency target, in relation to one in
# time. The product isn't told the benefits; those known lie from 0.2 to 0.73.
LATE_VALUE = 0.4
# A start counts as in time if the first token is due in this fraction of the
# time left to the target, as it often comes later than predicted.
IN_TIME_FRACTION = 0.75
# A newcomer is rejected if its wait takes more than this fraction of the time
# in which it has to start, as the requests that arrive later delay it further.
MAX_WAIT_FRACTION = 0.6
# Bounds the memory of waiting requests of all services.
MAX_WAITING = 2000
# Multiple of its usual share that a customer may have before others go first.
# Shares on one host vary by chance, and a lower bound lets late requests go
# before those that are in time too often.
CUSTOMER_SHARES = 2.5
# Less than the least weight of one customer, which is a rest of rounding.
MIN_OTHERS_WEIGHT = 0.01
# Requests of usual size that a session, or requests with the same content, may
# have in progress before others go first.
KEY_REQUESTS = 4.0
# Value falls with this power of the size. With 0.5, the largest tenth of a kind
# were served 0.28 to 0.47 times as often as the kind at twice the capacity.
SIZE_EXPONENT = 0.2
# A request whose prompt is cached as a whole may have no work.
MIN_SIZE = 0.05
SMALL_BELOW = 0.5
LARGE_FROM = 2.0
# Callers honour a delay of up to this fraction of the time that they have left.
MAX_RETRY_FRACTION = 1 / 3
# Returns that can't be spread over room within the time left are spread over
# this last part of the honoured delay.
RETRY_SPREAD = 0.6
MIN_RETRY_AFTER_S = 0.05
_MILLISECONDS_PER_S = 1000


@enum.unique
class Repeat(enum.IntEnum):
    """Classify requests by earlier rejections, in the order of service."""

    # The caller came back after the delay that it was told.
    AS_TOLD = 0
    FIRST = 1
    # The caller repeats a request sooner.
    EARLY = 2


@enum.unique
class RejectReason(enum.Enum):
    """State why a request was rejected."""

    # As many as may wait are more urgent.
    FULL = 'full'
    # Its turn would come too late.
    EXPECTED_LATE = 'expected-late'
    # It can no longer be answered before its timeout.
    TOO_LATE = 'too-late'
    # The shares in the engines' named limits don't serve it in time.
    LIMITED = 'limited'


@enum.unique
class SizeClass(enum.Enum):
    """Classify requests by their work in relation to their route."""

    SMALL = 'small'
    USUAL = 'usual'
    LARGE = 'large'


class WaitingRequest(msgspec.Struct, frozen=True):
    """Describe a request of a service; lower ranks are more urgent."""

    # Of the caller of these functions, which don't use it.
    ticket: Any
    rank: int
    customer: str
    # Its session, or the fingerprint of its content.
    key: str
    received_s: float
    # Latency target, counted from the first try if that was rejected here.
    target_s: float
    deadline_s: float
    # Predicted work, and its relation to the mean of the route.
    work_ms: float
    relative_size: float = 1.0
    # Predicted times from its start to the first token and to the end.
    first_ms: float = 0.0
    run_ms: float = 0.0
    repeat: Repeat = Repeat.FIRST
    # Until when it waits at most for a share in the engines' limits.
    wait_until_s: float = math.inf

    @property
    def latest_start_s(self) -> float:
        """Return until when the request may wait."""
        # A prediction may be far too long after an engine hung.
        longest_s = (self.deadline_s - self.received_s) / 2
        run_s = min(self.run_ms / _MILLISECONDS_PER_S, longest_s)
        return min(self.deadline_s - run_s, self.wait_until_s)

    @property
    def size(self) -> SizeClass:
        """Return the size class."""
        if self.relative_size < SMALL_BELOW:
            return SizeClass.SMALL
        if self.relative_size < LARGE_FROM:
            return SizeClass.USUAL
        return SizeClass.LARGE


class Progress(msgspec.Struct, frozen=True):
    """Hold the recent work of a service on this host.

    All work is in milliseconds of engine time.
    """

    # Work of a usual request.
    usual_ms: float
    # Work that runs or ended lately, by customer.
    by_customer: Mapping[str, float]
    # Work that runs, by key.
    by_key: Mapping[str, float]
    # Usual load of the customers in relation to their mean.
    weights: Mapping[str, float]

    # Sums over all customers, in work and in weights.
    total_ms: float
    total_weight: float

    def share_ms(self, customer: str) -> float:
        """Return the usual share of a customer, by the work of the others."""
        weight = self.weights.get(customer, 1.0)
        others_ms = self.total_ms - self.by_customer.get(customer, 0.0)
        others_weight = self.total_weight - weight
        share_ms = self.usual_ms * max(weight, 1.0)
        if others_weight < MIN_OTHERS_WEIGHT:
            return share_ms
        return max(others_ms / others_weight * weight, share_ms)


def build_progress(
    usual_ms: float,
    by_customer: Mapping[str, float],
    by_key: Mapping[str, float],
    weights: Mapping[str, float],
) -> Progress:
    """Build the recent work of a service, with its sums."""
    customers = {*by_customer, *weights}
    return Progress(
        max(usual_ms, 1.0),
        by_customer,
        by_key,
        weights,
        sum(by_customer.values()),
        sum(weights.get(customer, 1.0) for customer in customers),
    )


class DrainRate(msgspec.Struct, frozen=True):
    """Describe how fast the waiting requests of a service get places."""

    # Requests that run at a time.
    places: float
    run_ms: float
    work_ms: float

    @property
    def interval_s(self) -> float:
        """Return the time between free places."""
        return self.run_ms / self.places / _MILLISECONDS_PER_S

    def wait_s(self, work_ahead_ms: float) -> float:
        """Return the time until the work ahead has started."""
        return work_ahead_ms / self.work_ms * self.interval_s


def find_level(
    request: WaitingRequest,
    progress: Progress,
    queued_ms: float = 0.0,
    key_queued_ms: float = 0.0,
) -> int:
    """Return the excess of a request's customer or key; fewer go first.

    `queued_ms` is the work of its customer that goes before the request.
    """
    key_ms = progress.by_key.get(request.key, 0.0) + key_queued_ms
    by_key = key_ms / (KEY_REQUESTS * progress.usual_ms)
    if not request.customer:
        # A public route has no customers to share among.
        return int(by_key)
    customer_ms = progress.by_customer.get(request.customer, 0.0) + queued_ms
    shares = customer_ms / progress.share_ms(request.customer)
    return int(max(shares / CUSTOMER_SHARES, by_key))


def find_value(request: WaitingRequest, start_s: float) -> float:
    """Return the value of an answer for a start, for its size and age."""
    if start_s > request.latest_start_s:
        return 0.0
    target_left_s = request.target_s - start_s
    first_s = request.first_ms / _MILLISECONDS_PER_S
    value = LATE_VALUE
    if first_s <= target_left_s * IN_TIME_FRACTION:
        value = 1.0
    patience_s = max(request.target_s - request.received_s, 0.001)
    age = min((start_s - request.received_s) / patience_s, 1.0)
    size = max(request.relative_size, MIN_SIZE)
    return value * (1 + age) / size**SIZE_EXPONENT


def find_order_key(
    request: WaitingRequest,
    level: int,
    now_s: float,
) -> tuple[int, int, int, float, float]:
    """Return a key that is less for requests that go first."""
    return (
        request.rank,
        level,
        request.repeat,
        -find_value(request, now_s),
        request.deadline_s,
    )


def arrange(
    waiting: Iterable[WaitingRequest],
    progress: Progress,
    now_s: float,
) -> list[WaitingRequest]:
    """Return the waiting requests in the expected order of their starts."""
    queued_ms: dict[tuple[int, str], float] = {}
    keyed_ms: dict[tuple[int, str], float] = {}
    arranged = []
    # Without the level; the position stands for equal requests.
    own_order = sorted(
        (find_order_key(request, 0, now_s), position, request)
        for position, request in enumerate(waiting)
    )
    for own_key, position, request in own_order:
        customer = (request.rank, request.customer)
        key = (request.rank, request.key)
        level = find_level(
            request,
            progress,
            queued_ms.get(customer, 0.0),
            keyed_ms.get(key, 0.0),
        )
        queued_ms[customer] = queued_ms.get(customer, 0.0) + request.work_ms
        keyed_ms[key] = keyed_ms.get(key, 0.0) + request.work_ms
        arranged.append((own_key[0], level, own_key, position, request))
    arranged.sort()
    return [each[-1] for each in arranged]


def find_wait_s(
    request: WaitingRequest,
    arranged: Sequence[WaitingRequest],
    rate: DrainRate,
) -> float:
    """Return the expected wait of one of the arranged requests."""
    ahead_ms = 0.0
    for other in arranged:
        if other is request:
            break
        ahead_ms += other.work_ms
    return rate.wait_s(ahead_ms) + rate.interval_s


def judge_newcomer(
    request: WaitingRequest,
    arranged: Sequence[WaitingRequest],
    rate: DrainRate,
    now_s: float,
) -> RejectReason | None:
    """Decide whether a new request may wait; `arranged` includes it."""
    left_s = request.latest_start_s - now_s
    if left_s <= 0:
        return RejectReason.TOO_LATE
    if find_wait_s(request, arranged, rate) > left_s * MAX_WAIT_FRACTION:
        return RejectReason.EXPECTED_LATE
    return None


def find_hopeless(
    arranged: Sequence[WaitingRequest],
    rate: DrainRate,
    now_s: float,
) -> list[tuple[WaitingRequest, RejectReason]]:
    """Return the waiting requests that will not be answered in time."""
    hopeless = []
    ahead_ms = 0.0
    for request in arranged:
        left_s = request.latest_start_s - now_s
        if left_s <= 0:
            hopeless.append((request, RejectReason.TOO_LATE))
        elif rate.wait_s(ahead_ms) > left_s:
            hopeless.append((request, RejectReason.EXPECTED_LATE))
        else:
            # What is rejected delays nobody.
            ahead_ms += request.work_ms
    return hopeless


def find_retry_after_s(
    request: WaitingRequest,
    wait_s: float,
    now_s: float,
    draw: float,
) -> float:
    """Return the delay until there is room; `draw` is from 0 to 1."""
    left_s = max(request.deadline_s - now_s, 0.0)
    longest_s = left_s * MAX_RETRY_FRACTION
    if wait_s < longest_s:
        return max(wait_s, min(MIN_RETRY_AFTER_S, longest_s))
    return longest_s * (1 - RETRY_SPREAD * draw)


def may_escalate(
    rank: int,
    confidence: int,
    larger_work_ms: float,
    waiting: Iterable[WaitingRequest],
) -> bool:
    """Tell whether a second run is worth the room that others wait for.

    It gains the answer if the draft is wrong, and takes the places of requests
    that do as much work.
    """
    gain = (1 - confidence / 100) / max(larger_work_ms, 1.0)
    for other in waiting:
        if other.rank < rank:
            return False
        if other.rank == rank and 1 / max(other.work_ms, 1.0) > gain:
            return False
    return True
