"""Run one attempt of a chat request on one engine."""

import msgspec

from bamboodeck.chat.requests import ChatMessage, ChatRequest
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    JSON_TYPE,
    Header,
    HttpCall,
    parse_address,
)
from bamboodeck.routing.messages import RouteChosen
from bamboodeck.streaming.engine_stream import AttemptListener, EngineStream
from bamboodeck.streaming.splice import Splicer

ENGINE_PATH = '/v1/chat/completions'
SILENCE_TIMEOUT_S = 10.0


class EngineRequest(msgspec.Struct, frozen=True):
    """Body of a chat request to an engine."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool
    max_tokens: int
    request_id: str
    resume_from: int
    priority: int


class Attempt:
    """One call to an engine and the progress of its answer."""

    def __init__(
        self,
        chosen: RouteChosen,
        call_id: str,
        splicer: Splicer | None,
        started_s: float,
    ) -> None:
        """Resume with the splicer of an interrupted attempt, if given."""
        self.chosen = chosen
        self.call_id = call_id
        self.started_s = started_s
        self.splicer = splicer or Splicer(call_id, chosen.version)
        self.splicer.discard_pending()
        self.resumed_from = self.splicer.next_offset
        self._connection = None

    @property
    def generated_tokens(self) -> int:
        """Return the number of tokens delivered by this attempt."""
        return self.splicer.next_offset - self.resumed_from

    def start(
        self,
        client: HttpClient,
        request: ChatRequest,
        max_tokens: int,
        listener: AttemptListener,
    ) -> None:
        """Send the call to the engine."""
        body = EngineRequest(
            model=self.chosen.version,
            messages=request.body.messages,
            stream=True,
            max_tokens=max_tokens,
            request_id=self.call_id,
            resume_from=self.splicer.next_offset,
            priority=0,
        )
        call = HttpCall(
            parse_address(self.chosen.address),
            'POST',
            ENGINE_PATH,
            msgspec.json.encode(body),
            (Header('Content-Type', JSON_TYPE),),
            SILENCE_TIMEOUT_S,
        )
        stream = EngineStream(self.splicer, listener)
        self._connection = client.stream(call, stream)
        stream.cancel = self._connection.cancel

    def pause(self) -> None:
        """Stop reading from the engine."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Read from the engine again."""
        if self._connection is not None:
            self._connection.resume()

    def cancel(self) -> None:
        """Close the connection, which the engine sees as a disconnect."""
        if self._connection is not None:
            self._connection.cancel()
            self._connection = None
