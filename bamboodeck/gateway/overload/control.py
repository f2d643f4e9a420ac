"""Apply the decisions on waiting requests to the exchanges of a host.

Load pattern: engines of a service have no room, on a host that holds few
requests a second of the fleet's. Its own completions are too rare to tell how
fast places get free, so the rate follows from the requests that run on the
engines and the time that a run takes.
"""

import math
from types import MappingProxyType

from bamboodeck.gateway.candidates import Candidates
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.exchange import ANSWER_MARGIN_S, Exchange
from bamboodeck.gateway.overload.admission import (
    MAX_RETRY_FRACTION,
    MAX_WAITING,
    DrainRate,
    Progress,
    RejectReason,
    Repeat,
    WaitingRequest,
    arrange,
    find_hopeless,
    find_retry_after_s,
    find_wait_s,
    judge_newcomer,
    may_escalate,
)
from bamboodeck.gateway.overload.events import RequestShed, RequestWaits
from bamboodeck.gateway.overload.progress import ProgressTable, StartedWork
from bamboodeck.gateway.overload.rejected import RejectedRequests, Rejection
from bamboodeck.gateway.placement import PEER_LOAD_MAX_AGE_S, CostEstimate

# The loads of other hosts are published every 0.25 s.
RATE_PERIOD_S = 0.25
# Arranging takes some 10 us a request; a sweep of many waiting requests is rare
# enough to take a hundredth of the time.
SWEEP_S_PER_REQUEST = 0.001
# A host of a large fleet has less than one place at a small service.
MIN_PLACES = 0.1
_REASONS = MappingProxyType(
    {
        RejectReason.FULL: 'overloaded',
        RejectReason.EXPECTED_LATE: 'overloaded',
        RejectReason.TOO_LATE: 'no engine had capacity in time',
        RejectReason.LIMITED: 'the engines take no more requests',
    }
)
_MILLISECONDS_PER_S = 1000


class AdmissionControl:
    """Describe exchanges, and decide which wait and which are rejected."""

    def __init__(
        self,
        context: GatewayContext,
        candidates: Candidates,
    ) -> None:
        """Start without requests."""
        self._context = context
        self._candidates = candidates
        self._progress = ProgressTable()
        self._rejected = RejectedRequests()
        # By service.
        self._next_sweep_s: dict[str, float] = {}
        # By service, with the time of the estimate.
        self._rates: dict[str, tuple[float, DrainRate]] = {}

    def record_arrival(self, exchange: Exchange) -> None:
        """Count a new request for the usual load of its customer."""
        if not self._context.queue.count(exchange.service):
            self._progress.record_calm_arrival(
                exchange.service,
                exchange.customer_name,
            )

    def record_sent(self, exchange: Exchange, estimate: CostEstimate) -> None:
        """Count a request as in progress."""
        self.release(exchange)
        started = StartedWork(
            exchange.service,
            exchange.customer_name,
            exchange.request.session or exchange.fingerprint,
            self._find_work_ms(
                exchange,
                exchange.model,
                estimate.prefill_ms,
                estimate.engine.entry.slots,
            ),
        )
        exchange.started = started
        self._progress.start(started)

    def release(self, exchange: Exchange) -> None:
        """Stop counting a request as in progress."""
        if exchange.started is not None:
            self._progress.end(exchange.started, self._context.now_s())
            exchange.started = None

    def peek(self, service: str, may_go=None) -> WaitingRequest | None:
        """Return the waiting request that goes next, if any."""
        if not self._context.queue.count(service):
            return None
        return self._context.queue.peek(
            service,
            self._find_progress(service),
            self._context.now_s(),
            may_go,
        )

    def describe(
        self,
        exchange: Exchange,
        engines: list[Engine],
        wait_until_s: float = math.inf,
    ) -> WaitingRequest:
        """Describe an exchange that finds no room on some engines."""
        now_s = self._context.now_s()
        times = self._context.work_times.of_route(exchange.route.name)
        work_ms = self._predict_work_ms(exchange, engines, now_s)
        longer_ms = work_ms - times.work_ms
        if exchange.request.generation is None:
            longer_ms = 0.0
        repeat, first_try_s = self._rejected.find(exchange.fingerprint, now_s)
        if exchange.dispatched:
            # It already had its turn.
            repeat = Repeat.AS_TOLD
        target_s = exchange.target_s
        if first_try_s is not None:
            target_s = first_try_s + exchange.route.target_latency_s
        return WaitingRequest(
            ticket=exchange,
            rank=exchange.rank,
            customer=exchange.customer_name,
            key=exchange.request.session or exchange.fingerprint,
            received_s=exchange.request.received_s,
            target_s=target_s,
            deadline_s=exchange.deadline_s - ANSWER_MARGIN_S,
            work_ms=work_ms,
            relative_size=work_ms / max(times.work_ms, 1.0),
            first_ms=max(times.first_ms + longer_ms, 0.0),
            run_ms=max(times.run_ms + longer_ms, 0.0),
            repeat=repeat,
            wait_until_s=wait_until_s,
        )

    def admit(self, exchange: Exchange, request: WaitingRequest) -> None:
        """Queue a request, or reject it or another one."""
        queue = self._context.queue
        service = exchange.service
        now_s = self._context.now_s()
        arranged = arrange(
            (*queue.list_waiting(service), request),
            self._find_progress(service),
            now_s,
        )
        rate = self._find_rate(service)
        reason = judge_newcomer(request, arranged, rate, now_s)
        if reason is not None:
            self.reject(request, reason)
            return
        if len(queue) >= MAX_WAITING:
            last = arranged[-1]
            queue.take(service, last.ticket)
            self.reject(last, RejectReason.FULL)
            if last is request:
                return
        queue.add(service, request)
        self._context.metrics.count('waited')
        self._context.log.emit(
            RequestWaits(
                exchange.request.request_id,
                service,
                request.rank,
                len(queue),
                find_wait_s(request, arranged, rate) * _MILLISECONDS_PER_S,
                request.customer,
                request.work_ms,
                request.size.value,
                request.repeat.name.lower(),
                arranged.index(request),
            ),
        )

    def reject_overdue(self) -> None:
        """Reject the requests that can no longer be answered in time."""
        for request in self._context.queue.take_overdue(self._context.now_s()):
            self.reject(request, RejectReason.TOO_LATE)

    def reject_hopeless(self) -> None:
        """Reject the requests whose turn is known to come too late."""
        queue = self._context.queue
        now_s = self._context.now_s()
        for service in queue.services():
            if not self._is_sweep_due(service, now_s):
                continue
            arranged = queue.arrange(
                service,
                self._find_progress(service),
                now_s,
            )
            rate = self._find_rate(service)
            for request, reason in find_hopeless(arranged, rate, now_s):
                if queue.take(service, request.ticket) is not None:
                    self.reject(request, reason)

    def reject(self, request: WaitingRequest, reason: RejectReason) -> None:
        """End a request that isn't queued."""
        exchange = request.ticket
        now_s = self._context.now_s()
        retry_after_s = self._find_retry_after_s(exchange, request, now_s)
        if not exchange.may_have_run:
            self._rejected.record(
                exchange.fingerprint,
                Rejection(
                    request.target_s - exchange.route.target_latency_s,
                    now_s,
                    now_s + retry_after_s,
                    exchange.deadline_s,
                ),
            )
        self._record_rejection(request, reason, retry_after_s)
        exchange.fail_unplaced(_REASONS[reason], retry_after_s)

    def record_expired(self, request: WaitingRequest) -> None:
        """Record a request whose time was over between two sweeps."""
        if self._context.now_s() >= request.deadline_s:
            self._record_rejection(request, RejectReason.TOO_LATE, 0.0)

    def is_worth_second_run(
        self,
        exchange: Exchange,
        confidence: int,
        estimate: CostEstimate,
        model: str,
    ) -> bool:
        """Tell whether an escalation is worth the room that others need."""
        waiting = self._context.queue.list_waiting(exchange.service)
        if not waiting:
            return True
        work_ms = self._find_work_ms(
            exchange,
            model,
            estimate.prefill_ms,
            estimate.engine.entry.slots,
        )
        return may_escalate(exchange.rank, confidence, work_ms, waiting)

    def _record_rejection(
        self,
        request: WaitingRequest,
        reason: RejectReason,
        retry_after_s: float,
    ) -> None:
        now_s = self._context.now_s()
        self._context.metrics.count_rejection(
            reason.value,
            request.rank,
            request.size.value,
        )
        self._context.log.emit(
            RequestShed(
                request.ticket.request.request_id,
                request.ticket.service,
                reason.value,
                request.rank,
                request.customer,
                request.work_ms,
                request.size.value,
                request.repeat.name.lower(),
                self._context.queue.count(request.ticket.service),
                (now_s - request.received_s) * _MILLISECONDS_PER_S,
                (request.deadline_s - now_s) * _MILLISECONDS_PER_S,
                retry_after_s * _MILLISECONDS_PER_S,
            ),
        )

    def _find_retry_after_s(
        self,
        exchange: Exchange,
        request: WaitingRequest,
        now_s: float,
    ) -> float:
        service = exchange.service
        rate = self._find_rate(service)
        ahead_ms = sum(
            other.work_ms
            for other in self._context.queue.list_waiting(service)
            if other.rank <= request.rank
        )
        return_s = self._rejected.reserve_return(
            service,
            request.rank,
            now_s + rate.wait_s(ahead_ms),
            rate.interval_s,
            now_s + (request.deadline_s - now_s) * MAX_RETRY_FRACTION,
        )
        return find_retry_after_s(
            request,
            return_s - now_s,
            now_s,
            self._context.environment.random.random(),
        )

    def _find_progress(self, service: str) -> Progress:
        work_ms, _ = self._context.work_times.of_service(service)
        return self._progress.find(service, work_ms, self._context.now_s())

    def _is_sweep_due(self, service: str, now_s: float) -> bool:
        if now_s < self._next_sweep_s.get(service, 0.0):
            return False
        waiting = self._context.queue.count(service)
        self._next_sweep_s[service] = now_s + waiting * SWEEP_S_PER_REQUEST
        return True

    def _find_rate(self, service: str) -> DrainRate:
        now_s = self._context.now_s()
        known = self._rates.get(service)
        if known is not None and now_s < known[0] + RATE_PERIOD_S:
            return known[1]
        fresh_s = now_s - PEER_LOAD_MAX_AGE_S
        running = sum(
            max(engine.total_requests(fresh_s), engine.entry.slots)
            for engine in self._context.engines.of_service(service)
            if not (engine.leaving or engine.unlisted)
        )
        work_ms, run_ms = self._context.work_times.of_service(service)
        rate = DrainRate(
            places=max(
                self._progress.count_running(service),
                running / max(self._candidates.hosts, 1),
                MIN_PLACES,
            ),
            run_ms=max(run_ms, 1.0),
            work_ms=max(work_ms, 1.0),
        )
        self._rates[service] = (now_s, rate)
        return rate

    def _predict_work_ms(
        self,
        exchange: Exchange,
        engines: list[Engine],
        now_s: float,
    ) -> float:
        generation = exchange.request.generation
        if generation is None or exchange.model is None:
            return self._find_work_ms(exchange, None, 0.0, 1)
        retention_s = 2 * self._context.settings.bounds.reuse_window_s
        cached = max(
            (
                self._context.engines.count_cached_tokens(
                    engine.entry.engine_id,
                    exchange.model,
                    generation,
                    now_s - retention_s,
                )
                for engine in engines
            ),
            default=0,
        )
        prefill_ms = self._context.prefill.estimate_ms(
            exchange.model,
            max(generation.prompt_tokens - cached, 0),
        )
        return self._find_work_ms(
            exchange,
            exchange.model,
            prefill_ms,
            engines[0].entry.slots if engines else 1,
        )

    def _find_work_ms(
        self,
        exchange: Exchange,
        model: str | None,
        prefill_ms: float,
        slots: int,
    ) -> float:
        generation = exchange.request.generation
        if generation is None or model is None:
            times = self._context.work_times.of_route(exchange.route.name)
            return times.run_ms
        return prefill_ms + self._context.work_times.output_ms(
            model,
            generation.output_tokens,
            slots,
        )
