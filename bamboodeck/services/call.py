"""Define calls to plain services."""

from dataclasses import dataclass

from bamboodeck.billing.messages import DedupWindow
from bamboodeck.chat.context import AnsweredRequest
from bamboodeck.configuration.model import Customer, Service
from bamboodeck.fingerprint import compute_fingerprint
from bamboodeck.http.messages import ApiRequest
from bamboodeck.refusals import NOT_FOUND, Refusal
from bamboodeck.streaming.messages import Usage

IDEMPOTENCY_HEADER = 'idempotency-key'
_NO_USAGE = Usage(0, 0, 0)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A caller's call to a method of a plain service."""

    request_id: str
    customer: Customer
    service: Service
    method: str
    request: ApiRequest

    @property
    def idempotent(self) -> bool:
        """Return whether the call may be repeated."""
        return self.method in self.service.idempotent

    @property
    def key(self) -> str:
        """Return the idempotency key, or an empty string."""
        return self.request.headers.get(IDEMPOTENCY_HEADER, '')


def find_method(service: Service, method: str) -> Refusal | None:
    """Return a refusal if the service has no such method."""
    if method in service.idempotent or method in service.non_idempotent:
        return None
    return Refusal(
        NOT_FOUND,
        'unknown_method',
        f'service "{service.name}" has no method "{method}"',
    )


def build_answered_request(call: ServiceCall) -> AnsweredRequest:
    """Build the call's bill; non-idempotent calls are billed by key."""
    method = f'{call.service.name}/{call.method}'
    return AnsweredRequest(
        call.request_id if call.idempotent else call.key,
        compute_fingerprint(
            f'{call.customer.name}/{method}',
            call.request.body,
        ),
        call.customer.name,
        call.service.name,
        method,
        _NO_USAGE,
        call.service.price_credits,
        DedupWindow.HOUR if call.idempotent else DedupWindow.DAY,
    )
