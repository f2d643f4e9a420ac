"""Parse and validate chat requests."""

import re
from dataclasses import dataclass

import msgspec
import xxhash

from bamboodeck.errors import InputError
from bamboodeck.http.messages import ApiRequest

SESSION_HEADER = 'x-bamboodeck-session'
CLASS_HEADER = 'x-bamboodeck-class'
DEADLINE_HEADER = 'x-bamboodeck-deadline-s'
REQUEST_ID_HEADER = 'x-request-id'
NEW_SESSION = 'new'
AUTOMATIC_MODEL = 'auto'
PREFIX_CHARACTERS = 1024
CHARACTERS_PER_TOKEN = 4
MAX_MESSAGES = 1000
MAX_TOKENS = 32_768

_REQUEST_ID = re.compile(r'^[\w.:\-]{1,128}$', re.ASCII)


class ChatInputError(InputError):
    """Invalid chat request."""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of the conversation."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Body of a chat request; other fields are ignored."""

    messages: tuple[ChatMessage, ...]
    model: str = AUTOMATIC_MODEL
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """Validated chat request."""

    request_id: str
    body: ChatBody
    raw_body: bytes
    max_tokens: int
    session_token: str
    class_name: str
    deadline_s: float | None
    prompt_tokens: int
    prefix_hash: int

    @property
    def wants_session(self) -> bool:
        """Return whether the answer should carry a session token."""
        return bool(self.session_token)

    @property
    def requested_model(self) -> str | None:
        """Return the requested model or version, if any."""
        if self.body.model == AUTOMATIC_MODEL:
            return None
        return self.body.model


_decoder = msgspec.json.Decoder(ChatBody)


def parse_chat_request(request: ApiRequest, new_id: str) -> ChatRequest:
    """Parse a request; raise `ChatInputError` if it is invalid."""
    try:
        body = _decoder.decode(request.body)
    except msgspec.DecodeError as error:
        raise ChatInputError(f'body is not a chat request: {error}')
    _check_messages(body)
    text = ''.join(message.content for message in body.messages)
    return ChatRequest(
        request_id=_read_request_id(request, new_id),
        body=body,
        raw_body=request.body,
        max_tokens=_read_max_tokens(body),
        session_token=request.headers.get(SESSION_HEADER, ''),
        class_name=request.headers.get(CLASS_HEADER, ''),
        deadline_s=_read_deadline(request),
        prompt_tokens=len(text) // CHARACTERS_PER_TOKEN + 1,
        prefix_hash=xxhash.xxh64_intdigest(
            text[:PREFIX_CHARACTERS].encode(),
        ),
    )


def _check_messages(body: ChatBody) -> None:
    if not body.messages:
        raise ChatInputError('messages: at least one message is required')
    if len(body.messages) > MAX_MESSAGES:
        raise ChatInputError(
            f'messages: got {len(body.messages)}, maximum is {MAX_MESSAGES}',
        )


def _read_max_tokens(body: ChatBody) -> int:
    requested = body.max_completion_tokens or body.max_tokens
    if requested is None:
        return 0
    if not 0 < requested <= MAX_TOKENS:
        raise ChatInputError(
            f'max_tokens: {requested} is not between 1 and {MAX_TOKENS}',
        )
    return requested


def _read_request_id(request: ApiRequest, new_id: str) -> str:
    text = request.headers.get(REQUEST_ID_HEADER)
    if text is None:
        return new_id
    if not _REQUEST_ID.match(text):
        raise ChatInputError(
            f'{REQUEST_ID_HEADER}: up to 128 letters, digits or .:_- expected',
        )
    return text


def _read_deadline(request: ApiRequest) -> float | None:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        deadline_s = float(text)
    except ValueError:
        deadline_s = 0.0
    if not 0 < deadline_s <= 3600:
        raise ChatInputError(
            f'{DEADLINE_HEADER}: "{text}" is not in (0, 3600] seconds',
        )
    return deadline_s
