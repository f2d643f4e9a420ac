"""Map errors to responses of the administration API."""

from types import MappingProxyType

from bamboodeck.admin.access import RoleMissingError, UnknownOperatorError
from bamboodeck.admin.messages import AdminError, ErrorBody, encode_body
from bamboodeck.configuration.outcomes import (
    ConfigurationConflictError,
    ConfigurationUnknownError,
)
from bamboodeck.errors import (
    BamboodeckError,
    ConflictError,
    InputError,
    UnavailableError,
)
from bamboodeck.http.messages import ApiResponse
from bamboodeck.settings.faults import FaultsError

RETRY_AFTER_S = 2


class NotFoundError(BamboodeckError):
    """Report a path or resource that does not exist."""


class MethodNotAllowedError(BamboodeckError):
    """Report a method that the path does not support."""


def build_error_response(error: BamboodeckError) -> ApiResponse:
    """Build the response to a failed request."""
    status, code = _classify(error)
    faults = error.faults if isinstance(error, FaultsError) else ()
    current = None
    if isinstance(error, ConfigurationConflictError):
        current = error.current
    body = ErrorBody(AdminError(code, str(error), faults, current))
    headers = {}
    if status == 503:
        headers['Retry-After'] = str(RETRY_AFTER_S)
    if status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return ApiResponse(
        status,
        encode_body(body),
        headers=MappingProxyType(headers),
    )


def _classify(error: BamboodeckError) -> tuple[int, str]:
    match error:
        case UnknownOperatorError():
            return 401, 'unknown_operator'
        case RoleMissingError():
            return 403, 'role_missing'
        case NotFoundError():
            return 404, 'not_found'
        case MethodNotAllowedError():
            return 405, 'method_not_allowed'
        case ConfigurationUnknownError():
            return 504, 'outcome_unknown'
        case _:
            return _classify_by_base(error)


def _classify_by_base(error: BamboodeckError) -> tuple[int, str]:
    match error:
        case ConflictError():
            return 409, 'conflict'
        case UnavailableError():
            return 503, 'unavailable'
        case FaultsError():
            return 400, 'faults'
        case InputError():
            return 400, 'refused'
        case _:
            return 500, 'internal'
