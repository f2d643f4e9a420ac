"""Stand in for an engine; a behaviour decides what it does with a request."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from review.support.messages import (
    LINE_LIMIT_BYTES,
    Request,
    build_answer,
    read_request,
)
from review.support.ports import LOOPBACK, find_free_port
from review.support.record import Record
from review.support.store import Store

ZONE = 'gent-a'

REQUEST_ID = 'X-Bamboodeck-Request-Id'
STAMP = 'X-Bamboodeck-Response-Stamp'
NOT_EXECUTED = 'X-Bamboodeck-Not-Executed'

_REQUEST_ID = REQUEST_ID.lower()
_EXPECTED = 'x-bamboodeck-expect-instance'
_MISDIRECTED = 421


@dataclass
class Call:
    """Hold a request that reached an engine, and the way back."""

    engine: 'Engine'
    request: Request
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.request.headers.get(_REQUEST_ID, '')

    def list_proof(self) -> tuple[tuple[str, str], ...]:
        """Return the headers of an answer of this engine."""
        return (
            (REQUEST_ID, self.request_id),
            (STAMP, f'stamp-{self.engine.engine_id}'),
        )

    async def write(self, content: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(content)
        await self.writer.drain()

    async def answer(self, body: bytes, status: int = 200) -> None:
        """Send a complete answer with this engine's proof."""
        await self.write(build_answer(status, self.list_proof(), body))

    def reset(self) -> None:
        """Reset the connection, as a crash does."""
        self.writer.transport.abort()


Behaviour = Callable[[Call], Awaitable[None]]


@dataclass
class Engine:
    """Listen, and run a behaviour for each request."""

    engine_id: str
    service: str
    store: Store
    record: Record
    behave: Behaviour
    slots: int = 6
    zone: str = ZONE
    born: int = 1_790_000_000_000
    port: int = field(default_factory=find_free_port)
    # Ids of the requests that it began to run.
    runs: list[str] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on its port."""
        self._server = await asyncio.start_server(
            self._serve,
            LOOPBACK,
            self.port,
            limit=LINE_LIMIT_BYTES,
        )

    async def enter(self) -> None:
        """Listen, and list itself in the store."""
        await self.start()
        self.list_entry()

    def list_entry(self) -> None:
        """Write its entry in the store."""
        self.store.put(
            f'servers/{self.engine_id}',
            {
                'service': self.service,
                'address': f'{LOOPBACK}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'sequence': 1,
                'born': self.born,
            },
        )

    def unlist(self) -> None:
        """Remove its entry from the store, as its silence does."""
        self.store.remove(f'servers/{self.engine_id}')

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def record_run(self, call: Call) -> None:
        """Record that it begins to run a request."""
        self.runs.append(call.request_id)
        self.record.add('run', self.engine_id, call.request_id)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            await self._serve_requests(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _serve_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = await read_request(reader)
        while request is not None:
            call = Call(self, request, writer)
            if request.headers.get(_EXPECTED) == self.engine_id:
                await self.behave(call)
            else:
                own_id = ((REQUEST_ID, call.request_id),)
                await call.write(build_answer(_MISDIRECTED, own_id))
            request = await read_request(reader)
