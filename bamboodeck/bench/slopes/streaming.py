"""Measure tokens on their way from an engine to a caller."""

import functools
import socket

import msgspec

from bamboodeck.bench.slopes import samples
from bamboodeck.bench.slopes.plan import (
    BYTES,
    MICROSECONDS,
    CountedPlan,
    Plan,
    Subject,
    TimedPlan,
    Work,
)
from bamboodeck.http.messages import ReplyHead
from bamboodeck.streaming.engine_stream import EngineStream
from bamboodeck.streaming.messages import ChunkChoice, Delta, EngineChunk
from bamboodeck.streaming.splice import Splicer
from bamboodeck.streaming.writer import ChunkWriter

TOKEN_COUNTS = (500, 1000, 2000)
TOKENS = 'tokens'
RECEIVE_SIZE_BYTES = 65_536
_REQUEST_ID = f'{7:032x}'
_CREATED_S = 1_900_000_000


def build_plans() -> tuple[Plan, ...]:
    """Return what is measured of streams."""
    return (
        TimedPlan(
            Subject(
                'token_rewritten',
                'read, splice and rewrite tokens, a chunk each',
                TOKENS,
                MICROSECONDS,
            ),
            TOKEN_COUNTS,
            functools.partial(_prepare_relay, with_sockets=False),
        ),
        TimedPlan(
            Subject(
                'token_relayed',
                'the same with a socket in and a socket out; no poller',
                TOKENS,
                MICROSECONDS,
            ),
            TOKEN_COUNTS,
            functools.partial(_prepare_relay, with_sockets=True),
        ),
        CountedPlan(
            Subject(
                'token_bytes',
                'tokens as events to the caller',
                TOKENS,
                BYTES,
            ),
            TOKEN_COUNTS,
            _count_bytes,
        ),
    )


class _Caller:
    """Rewrite the text of a stream for a caller."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self._writer = ChunkWriter(
            _REQUEST_ID,
            samples.VERSIONS[0],
            _CREATED_S,
        )

    def on_text(self, text: str) -> None:
        self.send(self._writer.write_text(text))

    def on_interrupted(self, reason: str, *, maybe_started: bool) -> None:
        raise ValueError(reason)

    def send(self, event: bytes) -> None:
        self.sent_bytes += len(event)


class _SocketCaller(_Caller):
    """Send the events over a socket and empty its other end."""

    def __init__(self) -> None:
        super().__init__()
        near, far = socket.socketpair()
        self._near = near
        self._far = far

    def send(self, event: bytes) -> None:
        self._near.send(event)
        # The caller's read is counted too, as an upper bound.
        self._far.recv(RECEIVE_SIZE_BYTES)

    def close(self) -> None:
        self._near.close()
        self._far.close()


def _build_events(count: int) -> list[bytes]:
    return [
        b'data: %b\n\n'
        % msgspec.json.encode(
            EngineChunk(
                _REQUEST_ID,
                samples.VERSIONS[0],
                offset,
                (ChunkChoice(Delta('token ')),),
            ),
        )
        for offset in range(count)
    ]


def _prepare_relay(count: int, *, with_sockets: bool) -> Work:
    events = _build_events(count)
    relay = _relay_by_sockets if with_sockets else _relay
    return functools.partial(relay, events)


def _build_stream(caller: _Caller) -> EngineStream:
    splicer = Splicer(_REQUEST_ID, samples.VERSIONS[0])
    stream = EngineStream(splicer, caller)
    stream.on_head(ReplyHead(200, ()))
    return stream


def _relay(events: list[bytes]) -> int:
    caller = _Caller()
    stream = _build_stream(caller)
    for event in events:
        stream.on_data(event)
    return caller.sent_bytes


def _relay_by_sockets(events: list[bytes]) -> None:
    engine, inlet = socket.socketpair()
    caller = _SocketCaller()
    stream = _build_stream(caller)
    for event in events:
        engine.send(event)
        stream.on_data(inlet.recv(RECEIVE_SIZE_BYTES))
    engine.close()
    inlet.close()
    caller.close()


def _count_bytes(count: int) -> int:
    return _relay(_build_events(count))
