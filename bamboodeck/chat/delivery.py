"""Deliver an answer to its caller, streamed or buffered."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from bamboodeck.chat.report import ChatParties
from bamboodeck.chat.requests import ChatRequest
from bamboodeck.http.messages import EVENT_STREAM_TYPE, ApiResponse
from bamboodeck.http.responder import Responder
from bamboodeck.refusals import Refusal, render_refusal, render_refusal_body
from bamboodeck.streaming.messages import Usage
from bamboodeck.streaming.writer import ChunkWriter

IssueSession = Callable[[str], str]

_OK = 200


class AnswerMessage(msgspec.Struct, frozen=True):
    """Assistant message of a complete answer."""

    role: str
    content: str


class AnswerChoice(msgspec.Struct, frozen=True):
    """Only choice of a complete answer."""

    index: int
    message: AnswerMessage
    finish_reason: str


class WholeAnswer(msgspec.Struct, frozen=True):
    """Complete answer in the format of the OpenAI API."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[AnswerChoice, ...]
    usage: Usage


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Finish reason and usage of an answer."""

    finish_reason: str
    usage: Usage


class Delivery:
    """Stream text as it arrives, or buffer it until it is accepted."""

    def __init__(
        self,
        request: ChatRequest,
        parties: ChatParties,
        responder: Responder,
        created_s: int,
        issue_session: IssueSession,
    ) -> None:
        """Start buffering; `issue_session` issues a version's token."""
        self.responder = responder
        self.streaming = False
        self._request = request
        self._parties = parties
        self._issue_session = issue_session
        self._created_s = created_s
        self._parts: list[str] = []
        self._writer: ChunkWriter | None = None

    @property
    def text(self) -> str:
        """Return the answer so far."""
        return ''.join(self._parts)

    @property
    def started(self) -> bool:
        """Return whether the response stream has been started."""
        return self._writer is not None

    def start_streaming(self, version: str) -> None:
        """Send the buffered text and stream all further text."""
        self.streaming = True
        if self._writer is not None:
            return
        self._open_stream(version)
        if self._parts:
            self.responder.send(self._writer.write_text(self.text))

    def add(self, text: str) -> None:
        """Append text to the answer."""
        self._parts.append(text)
        if self.streaming and self._writer is not None:
            self.responder.send(self._writer.write_text(text))

    def discard_buffered(self) -> None:
        """Discard the buffered text of a rejected answer."""
        self._parts.clear()

    def finish(self, version: str, end: AnswerEnd) -> None:
        """Send the buffered text, if any, and the end of the answer."""
        if not self._request.body.stream:
            self._send_whole(version, end)
            return
        if self._writer is None:
            self._open_stream(version)
            self.responder.send(self._writer.write_text(self.text))
        self.responder.send(
            self._writer.write_end(end.finish_reason, end.usage),
        )
        self.responder.end()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal, or abort a stream that has been started."""
        if self._writer is None:
            self.responder.respond(
                render_refusal(refusal, self._request.request_id),
            )
            return
        self.responder.send(
            self._writer.write_error(render_refusal_body(refusal)),
        )
        self.responder.close_incomplete()

    def _open_stream(self, version: str) -> None:
        self._writer = ChunkWriter(
            self._request.request_id,
            version,
            self._created_s,
        )
        self.responder.start_stream(
            _OK,
            EVENT_STREAM_TYPE,
            self._build_headers(version),
        )
        self.responder.send(self._writer.write_role())

    def _send_whole(self, version: str, end: AnswerEnd) -> None:
        answer = WholeAnswer(
            self._request.request_id,
            'chat.completion',
            self._created_s,
            version,
            (
                AnswerChoice(
                    0,
                    AnswerMessage('assistant', self.text),
                    end.finish_reason,
                ),
            ),
            end.usage,
        )
        self.responder.respond(
            ApiResponse(
                _OK,
                msgspec.json.encode(answer),
                headers=self._build_headers(version),
            ),
        )

    def _build_headers(self, version: str) -> dict[str, str]:
        headers = {
            'X-Request-Id': self._request.request_id,
            'X-Bamboodeck-Version': version,
            'X-Bamboodeck-Run': 'done',
        }
        if self._request.wants_session:
            headers['X-Bamboodeck-Session'] = self._find_token(version)
        return headers

    def _find_token(self, version: str) -> str:
        if version == self._parties.session_version:
            return self._parties.session_token
        return self._issue_session(version)
