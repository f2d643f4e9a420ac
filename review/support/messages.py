"""Read and write HTTP/1.1 messages as bytes, without any repair of them."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

LINE_LIMIT_BYTES = 65_536
STATUS_TEXTS = {  # noqa: WPS407
    200: 'OK',
    404: 'Not Found',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}

_NEW_LINE = b'\r\n'


class BrokenMessageError(Exception):
    """Report a message that ended before it was complete."""


@dataclass(frozen=True)
class Request:
    """Hold a request as received; header names are in lowercase."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@dataclass
class Answer:
    """Hold what a caller received; `whole` tells whether it was complete."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    whole: bool


def build_head(first_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of a message."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def build_answer(
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes = b'',
) -> bytes:
    """Return a complete answer with a length."""
    length = ('Content-Length', str(len(body)))
    line = f'HTTP/1.1 {status} {STATUS_TEXTS.get(status, "Other")}'
    return build_head(line, (*headers, length)) + body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or `None` at its end."""
    try:
        first_line, headers = await _read_head(reader)
        body = await _read_body(reader, headers)
    except (BrokenMessageError, OSError):
        return None
    method, target, _ = first_line.split(' ', 2)
    return Request(method, target, headers, body)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return an answer, which may be incomplete."""
    answer = Answer(0, {}, b'', whole=False)
    try:
        first_line, headers = await _read_head(reader)
    except (BrokenMessageError, OSError):
        return answer
    answer.status = int(first_line.split(' ', 2)[1])
    answer.headers = headers
    received = bytearray()
    try:
        await _read_body_into(reader, headers, received)
    except (BrokenMessageError, OSError):
        answer.body = bytes(received)
        return answer
    answer.body = bytes(received)
    answer.whole = True
    return answer


async def _read_line(reader: asyncio.StreamReader) -> str:
    line = await reader.readline()
    if not line.endswith(_NEW_LINE):
        raise BrokenMessageError
    return line[: -len(_NEW_LINE)].decode('latin-1')


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    first_line = await _read_line(reader)
    headers = {}
    line = await _read_line(reader)
    while line:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
        line = await _read_line(reader)
    return first_line, headers


async def _read_body(
    reader: asyncio.StreamReader,
    headers: Mapping[str, str],
) -> bytes:
    received = bytearray()
    if 'content-length' in headers or 'transfer-encoding' in headers:
        await _read_body_into(reader, headers, received)
    return bytes(received)


async def _read_body_into(
    reader: asyncio.StreamReader,
    headers: Mapping[str, str],
    received: bytearray,
) -> None:
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        await _read_chunks(reader, received)
        return
    length = headers.get('content-length')
    if length is not None:
        await _read_exactly(reader, int(length), received)
        return
    # The body ends with the connection.
    chunk = await reader.read(LINE_LIMIT_BYTES)
    while chunk:
        received += chunk
        chunk = await reader.read(LINE_LIMIT_BYTES)


async def _read_chunks(
    reader: asyncio.StreamReader,
    received: bytearray,
) -> None:
    size = int((await _read_line(reader)).partition(';')[0], 16)
    while size:
        await _read_exactly(reader, size, received)
        await _read_line(reader)
        size = int((await _read_line(reader)).partition(';')[0], 16)
    await _read_line(reader)


async def _read_exactly(
    reader: asyncio.StreamReader,
    length: int,
    received: bytearray,
) -> None:
    left = length
    while left:
        chunk = await reader.read(min(left, LINE_LIMIT_BYTES))
        if not chunk:
            raise BrokenMessageError
        received += chunk
        left -= len(chunk)
