"""Encode the chunks of an answer for the caller."""

import msgspec

from bamboodeck.streaming.messages import Usage

_encode = msgspec.json.encode
DONE_EVENT = b'data: [DONE]\n\n'


class ChunkWriter:
    """Encode the server-sent events of an answer from precomputed parts."""

    def __init__(self, request_id: str, version: str, created_s: int) -> None:
        """Precompute the parts that all events share."""
        common = (
            b'data: {"id":%b,"object":"chat.completion.chunk",'
            b'"created":%d,"model":%b,'
        ) % (_encode(request_id), created_s, _encode(version))
        self._common = common
        self._before = b'%b"choices":[{"index":0,"delta":{"content":' % common
        self._after = b'},"finish_reason":null}]}\n\n'

    def write_role(self) -> bytes:
        """Encode the first event, which holds the role."""
        return self._common + (
            b'"choices":[{"index":0,"delta":{"role":"assistant",'
            b'"content":""},"finish_reason":null}]}\n\n'
        )

    def write_text(self, text: str) -> bytes:
        """Encode an event that adds text."""
        return self._before + _encode(text) + self._after

    def write_end(self, finish_reason: str, usage: Usage) -> bytes:
        """Encode the last events: finish reason with usage, then [DONE]."""
        return (
            self._common
            + b'"choices":[{"index":0,"delta":{},"finish_reason":%b}],'
            b'"usage":%b}\n\n'
            % (_encode(finish_reason), _encode(usage))
            + DONE_EVENT
        )

    def write_error(self, body: bytes) -> bytes:
        """Encode an event that reports why the answer is incomplete."""
        return b'data: %b\n\n' % body
