"""Process a service call, at most once if it isn't idempotent."""

from collections.abc import Mapping
from types import MappingProxyType

from bamboodeck.chat.context import ChatContext
from bamboodeck.http.messages import (
    ApiResponse,
    HttpFailed,
    HttpOutcome,
    HttpReply,
    find_header,
)
from bamboodeck.http.responder import Responder
from bamboodeck.orders.book import OrderBook
from bamboodeck.orders.messages import (
    AlreadyDone,
    MayDispatch,
    NotRun,
    OrderDecision,
    OrderOutcome,
    OrderRequest,
    OrderTicket,
    OutcomeUnknown,
)
from bamboodeck.refusals import (
    INVALID_REQUEST,
    UNAVAILABLE,
    Refusal,
    RunState,
    render_refusal,
)
from bamboodeck.services.call import ServiceCall, build_answered_request
from bamboodeck.services.dispatch import Dispatcher
from bamboodeck.services.events import ServiceCallEnded
from bamboodeck.services.refusals import (
    build_dispatch_expired,
    build_not_run,
    build_not_started,
    build_outcome_unknown,
    build_server_failed,
    build_without_server,
)

NOT_STARTED_HEADER = 'x-not-started'
BODY_HEADER = 'X-Bamboodeck-Body'
BODY_NOT_KEPT = 'not-kept'
MAX_ATTEMPTS = 2
_NOT_STARTED = 'the backend server did not start the call'
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class ServiceExchange:
    """Dispatch one call to a backend server and return its answer."""

    def __init__(
        self,
        context: ChatContext,
        orders: OrderBook,
        call: ServiceCall,
        responder: Responder,
    ) -> None:
        """Record the call's start time; `start` runs it."""
        self._context = context
        self._orders = orders
        self._call = call
        self._responder = responder
        self._dispatcher = Dispatcher(context, call)
        self._started_s = context.scheduler.now_s()
        self._ticket: OrderTicket | None = None

    def start(self) -> None:
        """Dispatch the call; if it isn't idempotent, store its intent first."""
        call = self._call
        if call.idempotent:
            self._dispatch()
            return
        self._orders.begin(
            OrderRequest(
                call.customer.name,
                call.service.name,
                call.method,
                call.key,
                call.request.body,
            ),
            self._on_decision,
        )

    def _on_decision(self, decision: OrderDecision) -> None:
        match decision:
            case MayDispatch(ticket):
                self._dispatch_once(ticket)
            case AlreadyDone(outcome):
                self._replay(outcome)
            case OutcomeUnknown():
                self._refuse(build_outcome_unknown(decision))
            case NotRun():
                self._refuse(build_not_run(decision))

    def _dispatch_once(self, ticket: OrderTicket) -> None:
        self._ticket = ticket
        if self._responder.done:
            self._orders.mark_not_started(ticket, 'caller has gone')
            return
        address = self._dispatcher.choose()
        if address is None:
            self._orders.mark_not_started(ticket, 'no backend server')
            self._refuse_without_server()
            return
        if not self._orders.check_dispatch(ticket):
            self._refuse(build_dispatch_expired())
            return
        self._dispatcher.send(address, self._on_order_outcome)

    def _on_order_outcome(self, outcome: HttpOutcome) -> None:
        ticket = self._ticket
        match outcome:
            case HttpReply(status, _, body):
                if _is_not_started(outcome):
                    self._orders.mark_not_started(
                        ticket, 'backend server said so'
                    )
                    self._refuse(build_not_started(_NOT_STARTED))
                    return
                self._orders.finish(ticket, OrderOutcome(status, body))
                self._answer(outcome)
            case HttpFailed(reason, maybe_started):
                if not maybe_started:
                    self._orders.mark_not_started(ticket, reason)
                    self._refuse(build_not_started(reason))
                    return
                self._orders.mark_unknown(ticket, reason)
                self._refuse(build_server_failed(reason))

    def _dispatch(self) -> None:
        address = self._dispatcher.choose()
        if address is None:
            self._refuse_without_server()
            return
        self._dispatcher.send(address, self._on_outcome)

    def _on_outcome(self, outcome: HttpOutcome) -> None:
        match outcome:
            case HttpReply():
                if not _is_not_started(outcome):
                    self._answer(outcome)
                    return
                reason = _NOT_STARTED
            case HttpFailed(reason, _):
                pass  # noqa: WPS420
        may_retry = self._dispatcher.attempts < MAX_ATTEMPTS
        if may_retry and self._context.admission.take_retry():
            self._dispatch()
            return
        self._refuse(build_server_failed(reason))

    def _answer(self, reply: HttpReply) -> None:
        content_type = find_header(reply.headers, 'content-type') or ''
        self._bill_and_respond(reply.status, reply.body, content_type)

    def _replay(self, outcome: OrderOutcome) -> None:
        # A replayed outcome has the same bill id, so it is billed once.
        self._bill_and_respond(
            outcome.status,
            outcome.body,
            '',
            _NO_HEADERS if outcome.body_kept else {BODY_HEADER: BODY_NOT_KEPT},
        )

    def _bill_and_respond(
        self,
        status: int,
        body: bytes,
        content_type: str,
        headers: Mapping[str, str] = _NO_HEADERS,
    ) -> None:
        if status >= INVALID_REQUEST:
            self._respond(status, body, content_type, headers)
            return
        self._context.bills.bill(
            build_answered_request(self._call),
            lambda: self._respond(status, body, content_type, headers),
        )

    def _respond(
        self,
        status: int,
        body: bytes,
        content_type: str,
        headers: Mapping[str, str],
    ) -> None:
        self._responder.respond(
            ApiResponse(
                status,
                body,
                content_type or 'application/json',
                {
                    'X-Request-Id': self._call.request_id,
                    'X-Bamboodeck-Run': RunState.DONE.value,
                    **headers,
                },
            ),
        )
        self._log('answered', RunState.DONE)

    def _refuse_without_server(self) -> None:
        run = RunState.UNKNOWN if self._dispatcher.tried else RunState.NOT_RUN
        self._refuse(build_without_server(self._call.service.name, run))

    def _refuse(self, refusal: Refusal) -> None:
        self._responder.respond(render_refusal(refusal, self._call.request_id))
        self._log(refusal.code, refusal.run)

    def _log(self, outcome: str, run: RunState) -> None:
        call = self._call
        self._context.decisions.record(
            call.request_id,
            ServiceCallEnded(
                call.request_id,
                call.customer.name,
                call.service.name,
                call.method,
                outcome,
                run.value,
                self._context.scheduler.now_s() - self._started_s,
            ),
        )


def _is_not_started(reply: HttpReply) -> bool:
    return reply.status == UNAVAILABLE and bool(
        find_header(reply.headers, NOT_STARTED_HEADER),
    )
