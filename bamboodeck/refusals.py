"""Tell callers why a request got no answer, and whether it ran."""

import enum
import math
from dataclasses import dataclass

import msgspec

from bamboodeck.http.messages import ApiResponse
from bamboodeck.http.request_parser import BadRequestError

INVALID_REQUEST = 400
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 409
TOO_LARGE = 413
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
TIMEOUT = 504


@enum.unique
class RunState(enum.Enum):
    """Tell whether a request ran on a backend server."""

    NOT_RUN = 'not-run'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Describe an answer that says why there is no other one."""

    status: int
    code: str
    message: str
    run: RunState = RunState.NOT_RUN
    retry_after_s: float = 0.0


NOT_READY = Refusal(
    UNAVAILABLE,
    'no_configuration',
    'this entry host has no configuration yet',
    retry_after_s=1,
)


class ErrorDetail(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the error of an answer in the form that OpenAI clients read."""

    message: str
    type: str
    code: str
    run: str
    retry_after_s: float = 0.0


class ErrorBody(msgspec.Struct, frozen=True):
    """Hold the body of a refusal."""

    error: ErrorDetail


def render_refusal_body(refusal: Refusal) -> bytes:
    """Write the JSON body of a refusal."""
    kind = (
        'invalid_request_error'
        if refusal.status < SERVER_ERROR
        else 'server_error'
    )
    return msgspec.json.encode(
        ErrorBody(
            ErrorDetail(
                refusal.message,
                kind,
                refusal.code,
                refusal.run.value,
                refusal.retry_after_s,
            ),
        ),
    )


def render_refusal(refusal: Refusal, request_id: str = '') -> ApiResponse:
    """Build the whole answer of a refusal."""
    headers = {'X-Bamboodeck-Run': refusal.run.value}
    if request_id:
        headers['X-Request-Id'] = request_id
    if refusal.retry_after_s > 0:
        headers['Retry-After'] = str(math.ceil(refusal.retry_after_s))
    return ApiResponse(
        refusal.status,
        render_refusal_body(refusal),
        headers=headers,
    )


def render_bad_request(error: BadRequestError) -> bytes:
    """Write the body of a refusal of bytes that are no request."""
    return render_refusal_body(
        Refusal(error.status, 'bad_http', str(error)),
    )


def render_failure() -> bytes:
    """Write the body of an answer that a fault of ours prevented."""
    return render_refusal_body(
        Refusal(
            SERVER_ERROR,
            'internal_error',
            'this entry host failed to answer; its log tells more',
            RunState.UNKNOWN,
        ),
    )
