"""Generate one completion, token by token."""

import msgspec

from bamboodeck.fakes.engine.messages import Attempt, ChatRequest
from bamboodeck.fakes.engine.text import (
    BAD_MARKER,
    compute_seed,
    count_natural_tokens,
    count_prompt_tokens,
    find_echo_tag,
    pick_token,
    build_echo_token,
)
from bamboodeck.http.responder import Responder

DONE = b'data: [DONE]\n\n'
FOREIGN_ID = b'"another-request"'


class Generation:
    """Track the progress of a completion and encode its chunks."""

    __slots__ = (
        'attempt',
        'due_s',
        'held_chunk',
        'offset',
        'request',
        'responder',
        'total',
        '_bad',
        '_echo',
        '_natural',
        '_prefix',
        '_seed',
        '_tail',
    )

    def __init__(
        self,
        request: ChatRequest,
        responder: Responder,
        typical_tokens: int,
        created_s: int,
        *,
        bad: bool,
    ) -> None:
        """Prepare a completion whose length and tokens depend on the request.

        With `bad` its first token is replaced by `BAD_MARKER`.
        """
        self.request = request
        self.responder = responder
        self.attempt = Attempt(request.model, request.resume_from)
        self.due_s = 0.0
        self.held_chunk = b''
        self._bad = bad
        self._echo = find_echo_tag(request.prompt)
        self._seed = compute_seed(request)
        self._natural = count_natural_tokens(self._seed, typical_tokens)
        self.total = min(self._natural, request.max_tokens)
        self.offset = min(request.resume_from, self.total)
        self._prefix = msgspec.json.encode(request.request_id)
        self._tail = (
            b',"object":"chat.completion.chunk","created":%d,"model":%b,'
            b'"offset":' % (created_s, msgspec.json.encode(request.model))
        )

    @property
    def complete(self) -> bool:
        """Return whether every token was generated."""
        return self.offset >= self.total

    @property
    def finish_reason(self) -> str:
        """Return the OpenAI finish reason, `stop` or `length`."""
        return 'stop' if self.total == self._natural else 'length'

    def next_chunk(self) -> bytes:
        """Generate a token and return its encoded chunk."""
        token = self.token_at(self.offset)
        chunk = self.encode_chunk(self.offset, token, self._prefix)
        self.offset += 1
        self.attempt.tokens += 1
        return chunk

    def encode_foreign_chunk(self) -> bytes:
        """Encode a chunk of another request at the next offset."""
        return self.encode_chunk(self.offset, 'foreign ', FOREIGN_ID)

    def encode_chunk(self, offset: int, token: str, prefix: bytes) -> bytes:
        """Encode the chunk of a token."""
        return (
            b'data: {"id":%b%b%d,"choices":[{"index":0,"delta":'
            b'{"content":"%b"},"finish_reason":null}]}\n\n'
            % (prefix, self._tail, offset, token.encode())
        )

    def encode_final_chunk(self) -> bytes:
        """Encode the chunk that ends the completion, with its token usage."""
        return (
            b'data: {"id":%b%b%d,"choices":[{"index":0,"delta":{},'
            b'"finish_reason":"%b"}],"usage":%b}\n\n'
            % (
                self._prefix,
                self._tail,
                self.total,
                self.finish_reason.encode(),
                msgspec.json.encode(self.count_usage()),
            )
        )

    def count_usage(self) -> dict[str, int]:
        """Return the token usage of the whole completion."""
        prompt_tokens = count_prompt_tokens(self.request)
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self.total,
            'total_tokens': prompt_tokens + self.total,
        }

    def token_at(self, offset: int) -> str:
        """Return the token at an offset."""
        if self._bad and offset == 0:
            return f'{BAD_MARKER} '
        if self._echo:
            return build_echo_token(self._echo, offset)
        return pick_token(self._seed, offset)

    def build_completion(self, created_s: int) -> dict[str, object]:
        """Build a `chat.completion` object, for a request without streaming."""
        start = min(self.request.resume_from, self.total)
        text = ''.join(
            self.token_at(offset) for offset in range(start, self.total)
        )
        return {
            'id': self.request.request_id,
            'object': 'chat.completion',
            'created': created_s,
            'model': self.request.model,
            'choices': [
                {
                    'index': 0,
                    'message': {'role': 'assistant', 'content': text},
                    'finish_reason': self.finish_reason,
                },
            ],
            'usage': self.count_usage(),
        }
