"""Deliver an answer to its caller, pushed or held back."""

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
    """Hold the assistant's message."""

    role: str
    content: str


class AnswerChoice(msgspec.Struct, frozen=True):
    """Hold the one choice of a whole answer."""

    index: int
    message: AnswerMessage
    finish_reason: str


class WholeAnswer(msgspec.Struct, frozen=True):
    """Hold a whole answer in the form that OpenAI clients read."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[AnswerChoice, ...]
    usage: Usage


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Hold what the end of an answer tells."""

    finish_reason: str
    usage: Usage


class Delivery:
    """Send text at once if it is final, or hold it until it is accepted."""

    def __init__(
        self,
        request: ChatRequest,
        parties: ChatParties,
        responder: Responder,
        created_s: int,
        issue_session: IssueSession,
    ) -> None:
        """Start with nothing sent; the function issues a version's token."""
        self.responder = responder
        self.pushing = False
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
        """Tell whether the caller has got anything."""
        return self._writer is not None

    def push(self, version: str) -> None:
        """Send the text so far, and all from now on at once."""
        self.pushing = True
        if self._writer is not None:
            return
        self._open_stream(version)
        if self._parts:
            self.responder.send(self._writer.write_text(self.text))

    def add(self, text: str) -> None:
        """Take the next text of the answer."""
        self._parts.append(text)
        if self.pushing and self._writer is not None:
            self.responder.send(self._writer.write_text(text))

    def drop_held(self) -> None:
        """Forget an answer that was not accepted."""
        self._parts.clear()

    def finish(self, version: str, end: AnswerEnd) -> None:
        """Send what is held back and the end."""
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
        """Send a refusal, or break an answer that has begun."""
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
