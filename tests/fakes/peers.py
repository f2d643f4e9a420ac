"""Client for stand-ins that run in the loop of a test."""

import io
from typing import Any

import msgspec

from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    Header,
    HttpCall,
    HttpFailed,
    HttpOutcome,
    HttpReply,
    ReplyHead,
)
from bamboodeck.logs import build_event_log
from bamboodeck.loop.program import Loop
from tests.http.looping import build_loop, run_until

ANY_PORT = Address('127.0.0.1', 0)


def build_log():
    """Build an event log whose output is discarded."""
    return build_event_log(io.StringIO())


class Collected:
    """Collect a streamed response."""

    def __init__(self) -> None:
        """Start empty."""
        self.head: ReplyHead | None = None
        self.body = b''
        self.whole = False
        self.failure: HttpFailed | None = None

    @property
    def ended(self) -> bool:
        """Return whether the stream is complete or failed."""
        return self.whole or self.failure is not None

    @property
    def chunks(self) -> list[dict[str, Any]]:
        """Return the complete chunks, without the `[DONE]` event."""
        events = self.body.split(b'\n\n')[:-1]
        payloads = [each.removeprefix(b'data: ') for each in events]
        return [
            msgspec.json.decode(each) for each in payloads if each != b'[DONE]'
        ]

    @property
    def tokens(self) -> list[tuple[int, str]]:
        """Return the offsets and the tokens in the order of their arrival."""
        return [
            (chunk['offset'], chunk['choices'][0]['delta']['content'])
            for chunk in self.chunks
            if chunk['choices'][0]['delta']
        ]

    def on_head(self, head: ReplyHead) -> None:
        """Keep the head."""
        self.head = head

    def on_data(self, chunk: bytes) -> None:
        """Keep the bytes."""
        self.body += chunk

    def on_end(self) -> None:
        """Mark the response as complete."""
        self.whole = True

    def on_failed(self, failure: HttpFailed) -> None:
        """Keep the failure."""
        self.failure = failure


class Peer:
    """Call one address and run the loop until the response."""

    def __init__(self, loop: Loop, address: Address) -> None:
        """Keep the loop that runs both sides."""
        self.loop = loop
        self.address = address
        self.client = HttpClient(loop)

    def try_call(
        self,
        method: str,
        path: str,
        payload: Any = None,
        timeout_s: float = 10.0,
        **headers: str,
    ) -> HttpOutcome:
        """Send a call and return its outcome."""
        outcomes: list[HttpOutcome] = []
        body = b'' if payload is None else msgspec.json.encode(payload)
        call = HttpCall(
            self.address,
            method,
            path,
            body,
            tuple(
                Header(name.replace('_', '-'), text)
                for name, text in headers.items()
            ),
            timeout_s,
        )
        self.client.send(call, outcomes.append)
        run_until(self.loop, lambda: bool(outcomes))
        return outcomes[0]

    def call(self, method: str, path: str, payload: Any = None, **headers: str):
        """Return the payload of a successful call."""
        outcome = self.try_call(method, path, payload, **headers)
        assert isinstance(outcome, HttpReply), outcome
        assert outcome.status == 200, outcome
        return msgspec.json.decode(outcome.body)

    def order(self, fault: str, **fields: Any):
        """Activate a fault."""
        return self.call('POST', '/control', {'fault': fault, **fields})

    def stream(self, path: str, payload: Any) -> Collected:
        """Start a streamed call."""
        collected = Collected()
        body = msgspec.json.encode(payload)
        self.client.stream(
            HttpCall(self.address, 'POST', path, body),
            collected,
        )
        return collected

    def stream_whole(self, path: str, payload: Any) -> Collected:
        """Return a streamed answer once it has ended."""
        collected = self.stream(path, payload)
        run_until(self.loop, lambda: collected.ended)
        return collected


def start_peer(build, *settings, **more) -> tuple[Any, Peer]:
    """Start a stand-in in a new loop."""
    loop = build_loop()
    stand_in = build(loop, ANY_PORT, *settings, build_log(), **more)
    return stand_in, Peer(loop, stand_in.stand_in.address)
