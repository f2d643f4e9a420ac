"""Provide a client for the administration API of an entry host."""

from http.client import HTTPConnection, HTTPException
from typing import Any, Protocol

from bamboodeck.admin.calls import PATH_PREFIX, STATUS_OK, Method
from bamboodeck.admin.messages import (
    AdminError,
    BodyError,
    ErrorBody,
    decode_body,
    encode_body,
)
from bamboodeck.errors import BamboodeckError, UnavailableError
from bamboodeck.exit_status import ExitStatus
from bamboodeck.http.messages import JSON_TYPE, Address

DEFAULT_TIMEOUT_S = 15.0
_EXIT_STATUSES = (
    ('conflict', ExitStatus.CONFLICT),
    ('faults', ExitStatus.BAD_INPUT),
    ('refused', ExitStatus.BAD_INPUT),
    ('unavailable', ExitStatus.UNAVAILABLE),
    ('outcome_unknown', ExitStatus.NOT_CONFIRMED),
)


class RequestFailedError(BamboodeckError):
    """Report an error response from the API."""

    def __init__(self, error: AdminError) -> None:
        """Keep the error and map its code to an exit status."""
        super().__init__(error.message)
        self.error = error
        self.exit_status = dict(_EXIT_STATUSES).get(
            error.code,
            ExitStatus.ERROR,
        )


class NoAnswerError(UnavailableError):
    """Report that the server gave no answer or an unreadable one."""


class Client(Protocol):
    """Call the administration API."""

    def call(
        self,
        method: Method,
        path: str,
        expected: type[Any],
        body: Any = None,
    ) -> Any:
        """Return the decoded body of the answer; raise `BamboodeckError`."""


class HttpClient:
    """Call the administration API over HTTP."""

    def __init__(
        self,
        server: Address,
        key: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Keep the address and the operator's key."""
        self._server = server
        self._key = key
        self._timeout_s = timeout_s

    def call(
        self,
        method: Method,
        path: str,
        expected: type[Any],
        body: Any = None,
    ) -> Any:
        """Return the decoded body of the answer; raise `BamboodeckError`."""
        status, answer = self._send(method, path, body)
        try:
            return _decode_answer(status, answer, expected)
        except BodyError as error:
            raise NoAnswerError(
                f'unreadable answer with status {status} from {self._server}: '
                f'{error}',
            ) from None

    def _send(
        self,
        method: Method,
        path: str,
        body: Any,
    ) -> tuple[int, bytes]:
        connection = HTTPConnection(
            self._server.host,
            self._server.port,
            timeout=self._timeout_s,
        )
        headers = {
            'Authorization': f'Bearer {self._key}',
            'Content-Type': JSON_TYPE,
        }
        content = None if body is None else encode_body(body)
        url = f'{PATH_PREFIX}{path}'
        try:
            connection.request(method.value, url, content, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, HTTPException) as error:
            raise NoAnswerError(
                f'no answer from {self._server}: {error!r}',
            ) from None
        finally:
            connection.close()


def _decode_answer(status: int, answer: bytes, expected: type[Any]) -> Any:
    if status == STATUS_OK:
        return decode_body(answer, expected)
    raise RequestFailedError(decode_body(answer, ErrorBody).error)
