"""Build error responses, which also state whether the request ran."""

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
    """Report whether a request ran on a backend server."""

    NOT_RUN = 'not-run'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Describe an error response sent instead of an answer."""

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
    """Represent an error in the format that OpenAI clients expect."""

    message: str
    type: str
    code: str
    run: str
    retry_after_s: float = 0.0


class ErrorBody(msgspec.Struct, frozen=True):
    """Represent the body of a refusal."""

    error: ErrorDetail


def render_refusal_body(refusal: Refusal) -> bytes:
    """Encode the JSON body of a refusal."""
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
    """Build the complete response of a refusal."""
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
    """Encode the response body for a malformed HTTP request."""
    return render_refusal_body(
        Refusal(error.status, 'bad_http', str(error)),
    )


def render_failure() -> bytes:
    """Encode the response body for an internal error."""
    return render_refusal_body(
        Refusal(
            SERVER_ERROR,
            'internal_error',
            'this entry host failed to answer; see its log for details',
            RunState.UNKNOWN,
        ),
    )
