"""Carry one chat request from its caller to an answer."""

from bamboodeck.cascade.messages import (
    AnswerAccepted,
    NextVersion,
    StepVerdict,
)
from bamboodeck.chat.attempt import Attempt
from bamboodeck.chat.attempts import AttemptRunner
from bamboodeck.chat.checks import check_route
from bamboodeck.chat.context import (
    AdmissionWanted,
    AnsweredRequest,
    AttemptEnding,
    ChatContext,
)
from bamboodeck.chat.delivery import AnswerEnd, Delivery, IssueSession
from bamboodeck.chat.judge import AnswerJudge
from bamboodeck.chat.refusing import build_declined, build_late
from bamboodeck.chat.pricing import price_of
from bamboodeck.chat.report import ChatParties, Ending, ExchangeReport
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
    """Route a request, run its attempts and deliver one whole answer."""

    def __init__(
        self,
        context: ChatContext,
        request: ChatRequest,
        parties: ChatParties,
        responder: Responder,
        issue_session: IssueSession,
    ) -> None:
        """Start the clock of the request."""
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
        refusal = self._context.gatekeeper.admit(
            AdmissionWanted(
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
        """Pass the next text of the attempt on."""
        if not self._report.first_token_s:
            self._report.note_first_token()
        self._delivery.add(text)
        if self._delivery.pushing and self._delivery.responder.congested:
            self._attempts.current.pause()

    def on_complete(self) -> None:
        """Send the answer, or have it rated first."""
        attempt = self._attempts.end(AttemptEnding.FINISHED)
        self._report.spent(attempt, wasted=False)
        if not self._steps.later:
            self._accept(attempt)
            self._judge.rate_delivered(attempt, self._delivery.text)
            return
        self._judge.judge(
            attempt,
            self._delivery.text,
            lambda verdict: self._obey(attempt, verdict),
            is_wanted=lambda: not self._done,
        )

    def on_refused(self, head: ReplyHead, body: bytes) -> None:
        """Try another engine after one that did not start."""
        attempt = self._attempts.end(AttemptEnding.REFUSED)
        if find_header(head.headers, LEAVING_HEADER):
            self._context.router.on_engine_leaving(attempt.chosen.engine)
        self._retry(attempt, f'engine answered {head.status}')

    def on_interrupted(self, reason: str, *, maybe_started: bool) -> None:
        """Go on elsewhere, from the token that was passed on last."""
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
        self._refuse(build_declined(decision, self._attempts.run_state))

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
            self._steps.later,
            self._attempts.count,
            attempt.resumed_from,
        )
        self._attempts.start(attempt, self)
        # The first write may show that the caller has gone, which ends the
        # attempt; so it has to be running by then.
        if self._request.body.stream and not self._steps.later:
            self._delivery.push(chosen.version)

    def _retry(self, attempt: Attempt, reason: str) -> None:
        self._report.attempt_failed(attempt, reason)
        self._attempts.exclude(attempt.chosen.engine)
        refusal = self._attempts.find_obstacle(reason)
        if refusal is not None:
            self._refuse(refusal)
            return
        if attempt.splicer.next_offset:
            # Text was passed on, so only the same version may go on.
            self._route(attempt.chosen.version, attempt)
            return
        fixed = self._delivery.started or self._steps.number
        self._route(
            self._attempts.last_version
            if fixed
            else self._parties.session_version,
        )

    def _obey(self, attempt: Attempt, verdict: StepVerdict) -> None:
        match verdict:
            case AnswerAccepted(reason):
                self._report.judged(attempt, reason, '')
                self._accept(attempt)
            case NextVersion(version, _, reason):
                self._report.judged(attempt, reason, version)
                self._delivery.drop_held()
                self._steps.go_on()
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
            price_of(models[version], usage),
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
            Ending(
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
        self._finish(Ending(refusal.code, refusal.run))

    def _finish(self, ending: Ending) -> None:
        # A write that fails tells at once that the caller has gone.
        if self._done:
            return
        self._done = True
        if self._timer is not None:
            self._timer.cancel()
        if self._admitted:
            self._context.gatekeeper.end(
                self._parties.customer.name,
                self._report.elapsed_s(),
            )
        self._report.ended(ending)

    def _on_deadline(self) -> None:
        if self._done:
            return
        self._attempts.cancel()
        self._refuse(build_late(self._deadline_s, self._attempts.run_state))

    def _on_caller_gone(self) -> None:
        if self._done:
            return
        self._attempts.cancel()
        self._finish(Ending('caller_gone', self._attempts.run_state))

    def _on_drained(self) -> None:
        if self._attempts.current is not None:
            self._attempts.current.resume()
