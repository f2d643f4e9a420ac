"""HTTP server of the model engine stand-in."""

import time
from collections.abc import Callable
from random import Random
from urllib.parse import parse_qs

import msgspec

from bamboodeck.fakes.crash import exit_process
from bamboodeck.fakes.engine.batch import Batch
from bamboodeck.fakes.engine.cache import PrefixCache
from bamboodeck.fakes.engine.faults import (
    ENGINE_FAULTS,
    BadQuality,
    CrashOnMarker,
    IgnoreFencing,
    Leaving,
)
from bamboodeck.fakes.engine.generation import Generation
from bamboodeck.fakes.engine.messages import (
    CancelRequest,
    ChatRequest,
    EngineOrder,
    EngineSettings,
    LoadReport,
)
from bamboodeck.fakes.engine.record import EngineRecord
from bamboodeck.fakes.stand_in import StandIn, respond_error, respond_json
from bamboodeck.http.messages import Address, ApiRequest
from bamboodeck.http.responder import Responder
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop

RETRY_AFTER_S = 1
LEAVING_HEADER = 'x-engine-leaving'
CACHED_PROMPT_SPEEDUP = 0.8
RATE_PERIOD_S = 1.0
_BAD_REQUEST = 'bad_request'


class ModelEngine:
    """Serve completions, report load and execute orders."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        settings: EngineSettings,
        log: EventLog,
        crash: Callable[[], None] = exit_process,
    ) -> None:
        """Listen on an address; `crash` terminates the engine process."""
        self.stand_in = StandIn(
            loop,
            address,
            settings.name,
            ENGINE_FAULTS,
            log,
        )
        self.versions = list(settings.versions)
        self.record = EngineRecord()
        self.batch = Batch(loop, settings, self.stand_in.faults, crash)
        self._settings = settings
        self._scheduler = loop.scheduler
        self._faults = self.stand_in.faults
        self._cache = PrefixCache(settings, Random(settings.seed))
        self._highest_fencing_number = 0
        self._role = 'mixed'
        self._rate_tokens_per_s = 0.0
        self._last_token_count = 0
        self._report = self._measure_load()
        self._add_routes()
        loop.scheduler.call_every(RATE_PERIOD_S, self._update_rate)
        if settings.load_lag_s:
            loop.scheduler.call_every(settings.load_lag_s, self._refresh_report)

    def _add_routes(self) -> None:
        stand_in = self.stand_in
        stand_in.add_route('POST', '/v1/chat/completions', self._handle_chat)
        stand_in.add_route('POST', '/v1/cancel', self._handle_cancel)
        stand_in.add_route('POST', '/orders', self._handle_order)
        stand_in.add_route('GET', '/load', self._show_load)
        stand_in.add_route('GET', '/cache_events', self._show_cache_events)
        stand_in.add_route('GET', '/record', self._show_record)

    def _handle_chat(self, request: ApiRequest, responder: Responder) -> None:
        try:
            chat = msgspec.json.decode(request.body, type=ChatRequest)
        except msgspec.DecodeError as error:
            respond_error(responder, 400, _BAD_REQUEST, str(error))
            return
        crash = self._faults.current(CrashOnMarker)
        if crash is not None and crash.marker in chat.prompt:
            self.batch.crash()
            responder.abort()
            return
        if self._reject_if_unavailable(chat, responder):
            return
        self._generate(chat, responder)

    def _reject_if_unavailable(
        self, chat: ChatRequest, responder: Responder
    ) -> bool:
        name = self._settings.name
        if self._faults.current(Leaving):
            respond_error(
                responder,
                503,
                'engine_leaving',
                f'engine "{name}" is leaving',
                {LEAVING_HEADER: '1'},
            )
            return True
        if chat.model not in self.versions:
            message = f'engine "{name}" has no version "{chat.model}"'
            respond_error(responder, 404, 'unknown_version', message)
            return True
        if self.batch.full:
            message = f'queue of engine "{name}" is full'
            headers = {'Retry-After': str(RETRY_AFTER_S)}
            respond_error(responder, 503, 'queue_full', message, headers)
            return True
        return False

    def _generate(self, chat: ChatRequest, responder: Responder) -> None:
        bad = self._faults.current(BadQuality)
        generation = Generation(
            chat,
            responder,
            self._settings.answer_tokens,
            int(time.time()),
            bad=bad is not None and bad.version == chat.model,
        )
        generation.attempt.taken_s = time.time()
        self.record.add(chat.request_id, generation.attempt)
        cached = self._cache.access(
            chat.model,
            chat.prompt,
            self._scheduler.now_s(),
        )
        share = 1 - CACHED_PROMPT_SPEEDUP * cached
        self.batch.submit(generation, self._settings.first_token_s * share)

    def _handle_cancel(self, request: ApiRequest, responder: Responder) -> None:
        try:
            order = msgspec.json.decode(request.body, type=CancelRequest)
        except msgspec.DecodeError as error:
            respond_error(responder, 400, _BAD_REQUEST, str(error))
            return
        found = self.batch.find(order.request_id)
        for generation in found:
            self.batch.cancel(generation)
            generation.responder.abort()
        respond_json(responder, 200, {'cancelled': len(found)})

    def _handle_order(self, request: ApiRequest, responder: Responder) -> None:
        try:
            order = msgspec.json.decode(request.body, type=EngineOrder)
        except msgspec.DecodeError as error:
            respond_error(responder, 400, _BAD_REQUEST, str(error))
            return
        ignores = self._faults.current(IgnoreFencing) is not None
        checks = self._settings.checks_fencing and not ignores
        if checks and order.fencing_number < self._highest_fencing_number:
            message = (
                f'fencing number {order.fencing_number} is older than '
                f'{self._highest_fencing_number}'
            )
            respond_error(responder, 409, 'old_fencing_number', message)
            return
        self._highest_fencing_number = max(
            self._highest_fencing_number, order.fencing_number
        )
        self.record.orders.append(order)
        self._execute(order, responder)

    def _execute(self, order: EngineOrder, responder: Responder) -> None:
        match order:
            case EngineOrder(action='load'):
                self._scheduler.call_after(
                    self._settings.load_version_s,
                    lambda: self._finish_load(order, responder),
                )
                return
            case EngineOrder(action='unload') if order.version in self.versions:
                self.versions.remove(order.version)
            case EngineOrder(action='role'):
                self._role = order.role
        self._acknowledge(responder)

    def _finish_load(self, order: EngineOrder, responder: Responder) -> None:
        if order.version not in self.versions:
            self.versions.append(order.version)
        self._acknowledge(responder)

    def _acknowledge(self, responder: Responder) -> None:
        respond_json(
            responder,
            200,
            {'versions': self.versions, 'role': self._role},
        )

    def _show_load(self, request: ApiRequest, responder: Responder) -> None:
        if not self._settings.load_lag_s:
            self._refresh_report()
        respond_json(responder, 200, self._report)

    def _show_cache_events(
        self,
        request: ApiRequest,
        responder: Responder,
    ) -> None:
        after = parse_qs(request.query).get('after', ['0'])[0]
        if not after.isdecimal():
            message = f'after "{after}" is not a number'
            respond_error(responder, 400, _BAD_REQUEST, message)
            return
        events = self._cache.list_events(int(after), self._scheduler.now_s())
        respond_json(responder, 200, {'events': events})

    def _show_record(self, request: ApiRequest, responder: Responder) -> None:
        respond_json(responder, 200, self.record.describe())

    def _update_rate(self) -> None:
        count = self.batch.token_count - self._last_token_count
        self._last_token_count = self.batch.token_count
        self._rate_tokens_per_s = count / RATE_PERIOD_S

    def _refresh_report(self) -> None:
        self._report = self._measure_load()

    def _measure_load(self) -> LoadReport:
        return LoadReport(
            engine=self._settings.name,
            running=len(self.batch.running),
            queued=self.batch.queued_count,
            capacity=self._settings.capacity,
            tokens_per_s=self._rate_tokens_per_s,
            versions=tuple(self.versions),
            leaving=self._faults.current(Leaving) is not None,
            reported_s=self._scheduler.now_s(),
        )
