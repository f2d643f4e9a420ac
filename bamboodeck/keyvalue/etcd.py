"""Implement the key-value port with the JSON gateway of etcd."""

from collections.abc import Callable

from bamboodeck.errors import InputError
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    JSON_TYPE,
    Address,
    Header,
    HttpCall,
    HttpFailed,
    HttpOutcome,
    HttpReply,
)
from bamboodeck.keyvalue.etcd_replies import read_reply
from bamboodeck.keyvalue.etcd_requests import (
    GatewayCall,
    build_call,
    build_watch_call,
    is_write,
)
from bamboodeck.keyvalue.etcd_watch import EtcdWatch
from bamboodeck.keyvalue.port import (
    OnReply,
    OnWatchEvent,
    StoreReply,
    StoreRequest,
    StoreUnavailable,
    WatchBroken,
    WatchEvent,
    WatchHandle,
)

# A watch that receives nothing for this time counts as broken.
WATCH_IDLE_TIMEOUT_S = 10.0

_HEADERS = (Header('Content-Type', JSON_TYPE),)
_MIN_SERVER_ERROR = 500


class NoAddressError(InputError):
    """Report that no address of the key-value service is given."""


class _FailoverRequest:
    """Send a request, failing over to the next address where safe.

    Reads may be repeated. A change is sent again only if no byte of it has
    been sent, as it might otherwise take effect twice.
    """

    def __init__(
        self,
        store: 'EtcdKeyValue',
        request: StoreRequest,
        on_reply: OnReply,
    ) -> None:
        self._store = store
        self._request = request
        self._call = build_call(request)
        self._on_reply = on_reply
        self._address = store.address
        self._attempts_left = store.address_count
        self._is_read = not is_write(request)

    def start(self) -> None:
        """Send the request to the address in use."""
        self._attempts_left -= 1
        self._address = self._store.address
        self._store.send(self._call, self._on_outcome)

    def _on_outcome(self, outcome: HttpOutcome) -> None:
        if _is_conclusive(outcome):
            self._on_reply(read_reply(self._request, outcome))
            return
        self._store.switch_address(self._address)
        if self._attempts_left and self._may_retry(outcome):
            self.start()
            return
        self._on_reply(self._build_failure(outcome))

    def _may_retry(self, outcome: HttpOutcome) -> bool:
        not_sent = isinstance(outcome, HttpFailed) and not outcome.maybe_started
        return self._is_read or not_sent

    def _build_failure(self, outcome: HttpOutcome) -> StoreReply:
        match outcome:
            case HttpReply():
                return read_reply(self._request, outcome)
            case HttpFailed(reason=reason, maybe_started=started):
                return StoreUnavailable(reason, started and not self._is_read)


class EtcdKeyValue:
    """Implement the key-value port; a change is never sent twice."""

    def __init__(
        self,
        client: HttpClient,
        addresses: tuple[Address, ...],
        timeout_s: float,
        watch_idle_timeout_s: float = WATCH_IDLE_TIMEOUT_S,
    ) -> None:
        """Keep the addresses; raise `NoAddressError` if there is none."""
        if not addresses:
            raise NoAddressError('key-value service has no address')
        self._client = client
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._watch_idle_timeout_s = watch_idle_timeout_s
        self._address_index = 0

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return self._addresses[self._address_index]

    @property
    def address_count(self) -> int:
        """Return the number of addresses."""
        return len(self._addresses)

    def submit(self, request: StoreRequest, on_reply: OnReply) -> None:
        """Send a request; the callback gets exactly one reply."""
        _FailoverRequest(self, request, on_reply).start()

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_event: OnWatchEvent,
    ) -> WatchHandle:
        """Watch a prefix from a revision on (0: from now)."""
        address = self.address
        watch = EtcdWatch(lambda event: self._forward(event, address, on_event))
        call = self._build_call(
            build_watch_call(prefix, from_revision),
            self._watch_idle_timeout_s,
        )
        watch.start(self._client, call)
        return watch

    def send(
        self,
        call: GatewayCall,
        on_outcome: Callable[[HttpOutcome], None],
    ) -> None:
        """Send a call to the address in use."""
        self._client.send(self._build_call(call, self._timeout_s), on_outcome)

    def switch_address(self, failed: Address) -> None:
        """Switch to the next address unless `failed` is no longer in use."""
        if failed == self.address:
            self._address_index = (self._address_index + 1) % len(
                self._addresses
            )

    def _forward(
        self,
        event: WatchEvent,
        address: Address,
        on_event: OnWatchEvent,
    ) -> None:
        if isinstance(event, WatchBroken):
            self.switch_address(address)
        on_event(event)

    def _build_call(self, call: GatewayCall, timeout_s: float) -> HttpCall:
        return HttpCall(
            self.address,
            'POST',
            call.path,
            call.body,
            _HEADERS,
            timeout_s,
        )


def _is_conclusive(outcome: HttpOutcome) -> bool:
    return isinstance(outcome, HttpReply) and (
        outcome.status < _MIN_SERVER_ERROR
    )
