"""HTTP server of the key-value stand-in, an etcd JSON gateway."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from bamboodeck.fakes.faults import (
    FaultOrder,
    FaultOrderError,
    Freeze,
    HangUp,
    Refuse,
)
from bamboodeck.fakes.key_value.codec import (
    InvalidRequestError,
    Json,
    strip_values,
    read_object,
    read_range,
    build_range_reply,
)
from bamboodeck.fakes.key_value.faults import (
    KEY_VALUE_FAULTS,
    BreakWatches,
    ExpireLease,
    LateEffects,
    LoseAnswers,
    MuteWatches,
    OldReads,
)
from bamboodeck.fakes.key_value.lease_calls import (
    grant_lease,
    renew_lease,
    revoke_lease,
)
from bamboodeck.fakes.key_value.store import (
    LeaseNotFoundError,
    RevisionedStore,
    TooLargeError,
)
from bamboodeck.fakes.key_value.transaction import (
    has_writes,
    run_delete,
    run_put,
    run_range,
    run_transaction,
)
from bamboodeck.fakes.key_value.watches import PROGRESS_PERIOD_S, Watches
from bamboodeck.fakes.rates import TokenBucket
from bamboodeck.fakes.stand_in import MS_PER_S, StandIn, respond_json
from bamboodeck.http.messages import Address, ApiRequest
from bamboodeck.http.responder import Responder
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop

EXPIRY_PERIOD_S = 0.05
MAX_VALUE_BYTES = 1_048_576
_INVALID_ARGUMENT = 3
_NOT_FOUND = 5
_RESOURCE_EXHAUSTED = 8

Operation = Callable[[RevisionedStore, Json], Json]
TimedOperation = Callable[[RevisionedStore, Json, float], Json]


@dataclass(frozen=True)
class KeyValueSettings:
    """Configure the limits of the service."""

    writes_per_s: float = 400
    reads_per_s: float = 2000
    max_value_bytes: int = MAX_VALUE_BYTES
    seed: int = 0


class KeyValueService:
    """Serve reads, writes, leases and watches with rate limits."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        settings: KeyValueSettings,
        log: EventLog,
    ) -> None:
        """Listen on an address."""
        self.stand_in = StandIn(
            loop,
            address,
            'key-value',
            KEY_VALUE_FAULTS,
            log,
        )
        self.store = RevisionedStore(settings.max_value_bytes)
        self.watches = Watches(self.store)
        self._faults = self.stand_in.faults
        self._scheduler = loop.scheduler
        self._now_s = loop.scheduler.now_s
        self._random = Random(settings.seed)
        self._reads = TokenBucket(settings.reads_per_s, self._now_s())
        self._writes = TokenBucket(settings.writes_per_s, self._now_s())
        self.stand_in.check_order = self._check_order
        self.stand_in.on_order = self._handle_order
        self.stand_in.add_stats(self._describe)
        self._add_routes()
        loop.scheduler.call_every(EXPIRY_PERIOD_S, self._expire)
        loop.scheduler.call_every(PROGRESS_PERIOD_S, self._send_progress)

    def stop(self) -> None:
        """End the watches and the loop."""
        self.watches.close_all()
        self.stand_in.stop()

    def _add_routes(self) -> None:
        self._add_write_route('/v3/kv/put', run_put)
        self._add_write_route('/v3/kv/deleterange', run_delete)
        self._add_lease_route('/v3/lease/grant', grant_lease)
        self._add_lease_route('/v3/lease/keepalive', renew_lease)
        self._add_write_route('/v3/lease/revoke', revoke_lease)
        self._add_write_route('/v3/kv/lease/revoke', revoke_lease)
        self.stand_in.add_route('POST', '/v3/kv/range', self._handle_range)
        self.stand_in.add_route('POST', '/v3/kv/txn', self._handle_transaction)
        self.stand_in.add_route('POST', '/v3/watch', self._handle_watch)

    def _add_write_route(self, path: str, operation: Operation) -> None:
        self.stand_in.add_route(
            'POST',
            path,
            lambda request, responder: self._handle_change(
                request,
                responder,
                operation,
            ),
        )

    def _add_lease_route(self, path: str, operation: TimedOperation) -> None:
        self._add_write_route(
            path,
            lambda store, body: operation(store, body, self._now_s()),
        )

    def _handle_change(
        self,
        request: ApiRequest,
        responder: Responder,
        operation: Operation,
    ) -> None:
        if not self._admit(self._writes, responder):
            return
        late = self._faults.consume(LateEffects)
        if late is not None:
            self._scheduler.call_after(
                late.delay_ms / MS_PER_S,
                lambda: self._run_operation(request, responder, operation),
            )
            responder.abort()
            return
        reply = self._run_operation(request, responder, operation)
        if reply is None:
            return
        self._publish()
        if self._should_lose_answer():
            responder.abort()
            return
        respond_json(responder, 200, reply)

    def _handle_transaction(
        self,
        request: ApiRequest,
        responder: Responder,
    ) -> None:
        try:
            writes = has_writes(read_object(request.body))
        except InvalidRequestError as error:
            _respond_error(responder, 400, _INVALID_ARGUMENT, str(error))
            return
        if writes:
            self._handle_change(request, responder, run_transaction)
            return
        self._handle_read(request, responder, run_transaction)

    def _handle_range(self, request: ApiRequest, responder: Responder) -> None:
        self._handle_read(request, responder, self._range)

    def _handle_read(
        self,
        request: ApiRequest,
        responder: Responder,
        operation: Operation,
    ) -> None:
        if not self._admit(self._reads, responder):
            return
        reply = self._run_operation(request, responder, operation)
        if reply is not None:
            respond_json(responder, 200, reply)

    def _range(self, store: RevisionedStore, body: Json) -> Json:
        if self._faults.consume(OldReads) is None:
            return run_range(store, body)
        previous = store.read_previous(read_range(body))
        entries = strip_values(body, previous)
        return build_range_reply(entries, store.revision - 1)

    def _run_operation(
        self,
        request: ApiRequest,
        responder: Responder,
        operation: Operation,
    ) -> Json | None:
        try:
            return operation(self.store, read_object(request.body))
        except LeaseNotFoundError:
            message = 'etcdserver: requested lease not found'
            _respond_error(responder, 404, _NOT_FOUND, message)
        except TooLargeError:
            message = 'etcdserver: request is too large'
            _respond_error(responder, 400, _INVALID_ARGUMENT, message)
        except InvalidRequestError as error:
            _respond_error(responder, 400, _INVALID_ARGUMENT, str(error))
        return None

    def _handle_watch(self, request: ApiRequest, responder: Responder) -> None:
        if not self._admit(self._reads, responder):
            return
        try:
            self.watches.start(read_object(request.body), responder)
        except InvalidRequestError as error:
            _respond_error(responder, 400, _INVALID_ARGUMENT, str(error))

    def _admit(self, bucket: TokenBucket, responder: Responder) -> bool:
        if bucket.take(self._now_s()):
            return True
        self.stand_in.calls['refused by rate'] += 1
        message = 'etcdserver: too many requests'
        _respond_error(responder, 429, _RESOURCE_EXHAUSTED, message)
        return False

    def _should_lose_answer(self) -> bool:
        fault = self._faults.current(LoseAnswers)
        if fault is None or self._random.random() >= fault.probability:
            return False
        self._faults.consume(LoseAnswers)
        return True

    def _expire(self) -> None:
        self.store.expire(self._now_s())
        self._publish()

    def _publish(self) -> None:
        muted = self._faults.current(MuteWatches) or self._faults.current(
            Freeze
        )
        if muted is None:
            self.watches.publish()

    def _send_progress(self) -> None:
        muted = self._faults.current(MuteWatches) or self._faults.current(
            Freeze
        )
        if muted is None:
            self.watches.send_progress()

    def _check_order(self, order: FaultOrder) -> None:
        if not isinstance(order, ExpireLease):
            return
        if order.lease_id not in {0, *self.store.leases}:
            raise FaultOrderError(f'lease {order.lease_id} is not found')

    def _handle_order(self, order: FaultOrder) -> None:
        match order:
            case BreakWatches() | HangUp() | Refuse():
                self.watches.abort_all()
            case ExpireLease(lease_id=lease_id):
                self._revoke_leases(lease_id)

    def _revoke_leases(self, lease_id: int) -> None:
        for each in tuple(self.store.leases):
            if lease_id in {0, each}:
                self.store.revoke(each)
        self._publish()

    def _describe(self) -> dict[str, Any]:
        return {
            'revision': self.store.revision,
            'waiting_watches': len(self.watches.waiting),
            'started_watches': self.watches.started_watch_count,
            'leases': len(self.store.leases),
        }


def _respond_error(
    responder: Responder,
    status: int,
    code: int,
    message: str,
) -> None:
    failure = {'error': message, 'code': code, 'message': message}
    respond_json(responder, status, failure)
