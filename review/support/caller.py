"""Send requests as a caller does."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count

from review.support.engine import REQUEST_ID
from review.support.messages import (
    LINE_LIMIT_BYTES,
    Answer,
    build_head,
    read_answer,
)
from review.support.ports import LOOPBACK
from review.support.record import Record

HOST = 'desk.example'
KEY = 'n2ctnfzs989anu6wsjnb'
# Beyond every route's time-out.
ANSWER_TIMEOUT_S = 30.0

_numbers = count(1)


@dataclass(frozen=True)
class Question:
    """Describe a request."""

    path: str
    method: str = 'GET'
    deadline_ms: int = 2500
    body: bytes = b''
    key: str = KEY
    headers: tuple[tuple[str, str], ...] = ()


@dataclass
class Channel:
    """Hold a kept connection to a gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    record: Record

    async def ask(self, question: Question) -> Answer:
        """Send a request and wait for the end of its answer."""
        request_id = f'{next(_numbers):016x}'
        self.record.add(
            'sent',
            request_id,
            question.method,
            question.path,
            f'body={len(question.body)}',
        )
        self.writer.write(_build(question, request_id))
        answer = Answer(0, {}, b'', whole=False)
        try:
            answer = await asyncio.wait_for(
                read_answer(self.reader),
                ANSWER_TIMEOUT_S,
            )
        except TimeoutError:
            self.record.add('no answer', request_id)
        self.record.add(
            'answered',
            request_id,
            answer.status,
            f'body={len(answer.body)}',
            'whole' if answer.whole else 'incomplete',
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def connect(port: int, record: Record) -> Channel:
    """Open a connection to a gateway."""
    reader, writer = await asyncio.open_connection(
        LOOPBACK,
        port,
        limit=LINE_LIMIT_BYTES,
    )
    return Channel(reader, writer, record)


async def ask(port: int, record: Record, question: Question) -> Answer:
    """Send a request on a new connection."""
    try:
        channel = await connect(port, record)
    except OSError:
        record.add('no connection', question.path)
        return Answer(0, {}, b'', whole=False)
    answer = await channel.ask(question)
    channel.close()
    return answer


def _build(question: Question, request_id: str) -> bytes:
    headers: Iterable[tuple[str, str]] = (
        ('Host', HOST),
        (REQUEST_ID, request_id),
        ('X-Bamboodeck-Deadline-Ms', str(question.deadline_ms)),
        ('X-Api-Key', question.key),
        *question.headers,
    )
    if question.body or question.method == 'POST':
        length = ('Content-Length', str(len(question.body)))
        headers = (*headers, length)
    line = f'{question.method} {question.path} HTTP/1.1'
    return build_head(line, headers) + question.body
