"""Define the requests and routes of the administration API."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from bamboodeck.admin.failures import build_error_response
from bamboodeck.admin.messages import decode_body, encode_body
from bamboodeck.configuration.model import Operator, Role
from bamboodeck.errors import BamboodeckError
from bamboodeck.http.messages import ApiRequest, ApiResponse

Respond = Callable[[ApiResponse], None]
PATH_PREFIX = '/admin/v1/'
STATUS_OK = 200


@enum.unique
class Method(enum.Enum):
    """List the HTTP methods that the API supports."""

    GET = 'GET'
    POST = 'POST'
    PUT = 'PUT'


@dataclass(frozen=True)
class Call:
    """Represent an authenticated request.

    `name` is the part of the path that the wildcard of the route matched.
    """

    operator: Operator
    request: ApiRequest
    respond: Respond
    name: str = ''

    def read_body(self, expected: type[Any]) -> Any:
        """Decode the body as a type; raise `BodyError`."""
        return decode_body(self.request.body, expected)

    def read_query(self, key: str) -> str:
        """Return a query parameter, or an empty string if it is missing."""
        values = parse_qs(self.request.query).get(key, [''])
        return values[0]

    def answer(self, content: Any) -> None:
        """Send a successful response."""
        self.respond(ApiResponse(STATUS_OK, encode_body(content)))

    def fail(self, error: BamboodeckError) -> None:
        """Send an error response."""
        self.respond(build_error_response(error))


@dataclass(frozen=True)
class Route:
    """Map a method and path to a handler and the role that it requires.

    A `*` in the path matches one segment.
    """

    method: Method
    path: str
    role: Role
    handler: Callable[[Call], None]
