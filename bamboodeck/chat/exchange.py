"""Process a chat request from admission to its answer."""

from bamboodeck.cascade.messages import (
    AnswerAccepted,
    NextVersion,
    StepVerdict,
)
from bamboodeck.chat.attempt import Attempt
from bamboodeck.chat.attempts import AttemptRunner
from bamboodeck.chat.checks import check_route
from bamboodeck.chat.context import (
    AnsweredRequest,
    AttemptEnding,
    ChatContext,
    RequestToAdmit,
)
from bamboodeck.chat.delivery import AnswerEnd, Delivery, IssueSession
from bamboodeck.chat.judge import AnswerJudge
from bamboodeck.chat.pricing import compute_price
from bamboodeck.chat.refusals import build_route_refusal, build_timeout_refusal
from bamboodeck.chat.report import ChatParties, ExchangeReport, RequestResult
from bamboodeck.chat.requests import ChatRequest
from bamboodeck.chat.steps import CascadeSteps
from bamboodeck.http.messages import ReplyHead, find_header
from bamboodeck.http.responder import Responder
from bamboodeck.refusals import Refusal, RunState
from bamboodeck.routing.messages import (
    RefusalCode,
    RouteChosen,
    RouteRefused,
)

LEAVING_HEADER = 'x-engine-leaving'


class ChatExchange:
    """Route a request, run its attempts and deliver one complete answer."""

    def __init__(
        self,
        context: ChatContext,
        request: ChatRequest,
        parties: ChatParties,
        responder: Responder,
        issue_session: IssueSession,
    ) -> None:
        """Record the request's start time; `start` runs it."""
        self._context = context
        self._request = request
        self._parties = parties
        self._deadline_s = (
            request.deadline_s or parties.request_class.deadline_s
        )
        self._delivery = Delivery(
            request,
            parties,
            responder,
            int(context.environment.wall_s()),
            issue_session,
        )
        self._report = ExchangeReport(context, request, parties)
        self._attempts = AttemptRunner(context, request, parties, self._report)
        self._steps = CascadeSteps()
        self._judge = AnswerJudge(context, request, parties, self._steps)
        self._admitted = False
        self._done = False
        self._timer = None
        responder.on_aborted = self._on_caller_gone
        responder.on_drained(self._on_drained)

    def start(self) -> None:
        """Admit the request and run it."""
        refusal = self._context.admission.admit(
            RequestToAdmit(
                self._parties.customer,
                self._parties.request_class,
                self._request.prompt_tokens + self._attempts.output_bound,
                self._deadline_s,
                self._attempts.fingerprint.hex(),
            ),
        )
        if refusal is not None:
            self._refuse(refusal)
            return
        self._admitted = True
        self._timer = self._context.scheduler.call_after(
            self._deadline_s,
            self._on_deadline,
        )
        self._route(self._parties.session_version)

    def on_text(self, text: str) -> None:
        """Deliver the next text; pause the engine if the caller is slow."""
        if not self._report.first_token_s:
            self._report.record_first_token()
        self._delivery.add(text)
        if self._delivery.streaming and self._delivery.responder.congested:
            self._attempts.current.pause()

    def on_complete(self) -> None:
        """Send the answer, or have it rated first if steps remain."""
        attempt = self._attempts.end(AttemptEnding.FINISHED)
        self._report.spent(attempt, wasted=False)
        if not self._steps.remaining:
            self._accept(attempt)
            self._judge.rate_delivered(attempt, self._delivery.text)
            return
        self._judge.judge(
            attempt,
            self._delivery.text,
            lambda verdict: self._apply_verdict(attempt, verdict),
            is_wanted=lambda: not self._done,
        )

    def on_refused(self, head: ReplyHead, body: bytes) -> None:
        """Retry on another engine; this one did not start the request."""
        attempt = self._attempts.end(AttemptEnding.REFUSED)
        if find_header(head.headers, LEAVING_HEADER):
            self._context.router.on_engine_leaving(attempt.chosen.engine)
        self._retry(attempt, f'engine answered {head.status}')

    def on_interrupted(self, reason: str, *, maybe_started: bool) -> None:
        """Retry elsewhere, resuming after the last delivered token."""
        attempt = self._attempts.end(
            AttemptEnding.CRASHED if maybe_started else AttemptEnding.REFUSED,
        )
        self._context.router.on_engine_lost(
            attempt.chosen.engine,
            self._context.scheduler.now_s(),
        )
        if maybe_started:
            self._report.spent(attempt, wasted=True)
        self._retry(attempt, reason)

    def _route(
        self,
        version: str | None,
        resume: Attempt | None = None,
    ) -> None:
        decision = self._attempts.decide(
            version,
            self._deadline_s - self._report.elapsed_s(),
        )

        def route_again() -> None:
            self._route_again(version, resume)

        match decision:
            case RouteChosen(engine=engine):
                if self._attempts.reserve(engine, route_again):
                    self._dispatch(decision, resume)
            case RouteRefused(RefusalCode.NO_ENGINE):
                if not self._attempts.wait(route_again):
                    self._decline(decision)
            case RouteRefused():
                self._decline(decision)

    def _decline(self, decision: RouteRefused) -> None:
        self._report.route_declined(decision, self._attempts.count)
        self._refuse(build_route_refusal(decision, self._attempts.run_state))

    def _route_again(self, version: str | None, resume: Attempt | None) -> None:
        if self._done:
            return
        refusal = self._attempts.check_poison()
        if refusal is not None:
            self._refuse(refusal)
            return
        self._route(version, resume)

    def _dispatch(self, chosen: RouteChosen, resume: Attempt | None) -> None:
        check_route(self._context, self._parties, chosen)
        attempt = self._attempts.open(chosen, resume)
        if resume is None:
            self._steps.plan(chosen)
        self._report.route_decided(
            chosen,
            self._steps.remaining,
            self._attempts.count,
            attempt.resumed_from,
        )
        self._attempts.start(attempt, self)
        # The first write may detect that the caller has disconnected, which
        # cancels the attempt, so the attempt must be running by then.
        if self._request.body.stream and not self._steps.remaining:
            self._delivery.start_streaming(chosen.version)

    def _retry(self, attempt: Attempt, reason: str) -> None:
        self._report.attempt_failed(attempt, reason)
        self._attempts.exclude(attempt.chosen.engine)
        refusal = self._attempts.check_retry(reason)
        if refusal is not None:
            self._refuse(refusal)
            return
        if attempt.splicer.next_offset:
            # Some text was delivered, so only the same version may resume it.
            self._route(attempt.chosen.version, attempt)
            return
        version_pinned = self._delivery.started or self._steps.number
        self._route(
            self._attempts.last_version
            if version_pinned
            else self._parties.session_version,
        )

    def _apply_verdict(self, attempt: Attempt, verdict: StepVerdict) -> None:
        match verdict:
            case AnswerAccepted(reason):
                self._report.judged(attempt, reason, '')
                self._accept(attempt)
            case NextVersion(version, _, reason):
                self._report.judged(attempt, reason, version)
                self._delivery.discard_buffered()
                self._steps.advance()
                self._attempts.begin_step(version)
                self._route(version)

    def _accept(self, attempt: Attempt) -> None:
        usage = attempt.splicer.usage
        version = attempt.chosen.version
        models = self._context.configuration().models_by_name
        answered = AnsweredRequest(
            self._request.request_id,
            self._attempts.fingerprint,
            self._parties.customer.name,
            self._parties.request_class.name,
            version,
            usage,
            compute_price(models[version], usage),
        )
        self._context.bills.bill(
            answered,
            lambda: self._send(answered, attempt),
        )

    def _send(self, answered: AnsweredRequest, attempt: Attempt) -> None:
        if self._done:
            return
        splicer = attempt.splicer
        self._delivery.finish(
            answered.version,
            AnswerEnd(splicer.finish_reason or '', answered.usage),
        )
        self._finish(
            RequestResult(
                'answered',
                RunState.DONE,
                answered.version,
                answered.usage,
                answered.price_credits,
                splicer.counts.dropped,
            ),
        )

    def _refuse(self, refusal: Refusal) -> None:
        if self._done:
            return
        self._delivery.refuse(refusal)
        self._finish(RequestResult(refusal.code, refusal.run))

    def _finish(self, result: RequestResult) -> None:
        # A failed write calls `_on_caller_gone` synchronously, so the request
        # may have ended within the last write.
        if self._done:
            return
        self._done = True
        if self._timer is not None:
            self._timer.cancel()
        if self._admitted:
            self._context.admission.end(
                self._parties.customer.name,
                self._report.elapsed_s(),
            )
        self._report.ended(result)

    def _on_deadline(self) -> None:
        if self._done:
            return
        self._attempts.cancel()
        self._refuse(
            build_timeout_refusal(self._deadline_s, self._attempts.run_state)
        )

    def _on_caller_gone(self) -> None:
        if self._done:
            return
        self._attempts.cancel()
        self._finish(RequestResult('caller_gone', self._attempts.run_state))

    def _on_drained(self) -> None:
        if self._attempts.current is not None:
            self._attempts.current.resume()
