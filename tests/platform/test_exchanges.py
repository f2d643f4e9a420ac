"""Test the translation of requests and answers."""

import pytest

from bamboodeck.gateway.model import EngineCall, PromptPart
from bamboodeck.http.intake import ParsedRequest
from bamboodeck.http.messages import Header, ReplyHead, find_header
from bamboodeck.platform import words
from bamboodeck.platform.exchanges import (
    build_engine_call,
    build_refusal_headers,
    decode_engine_head,
    decode_request,
)
from tests.gateway.samples import build_entry


def build_parsed(**headers: str) -> ParsedRequest:
    """Build a request with headers in lower case."""
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return ParsedRequest(
        method='POST',
        path='/chat/1',
        query='',
        version='1.1',
        headers=(('host', 'Desk.example:80'), *named.items()),
        body=b'body',
        keep_alive=True,
        target='/chat/1',
    )


def lower(name: str) -> str:
    """Write a header's name as Python writes arguments."""
    return name.lower().replace('-', '_')


class TestRequests:
    """Read what callers ask."""

    def test_generation(self) -> None:
        """Read tokens and parts of a prompt."""
        request = decode_request(
            build_parsed(
                **{
                    lower(words.MODEL): '*',
                    lower(words.TOKEN_COUNTS): '1460,80',
                    lower(words.PROMPT_PREFIX): '5C1e07a2:800,91bd3f06:410',
                    lower(words.LENGTH_HINT): '33',
                    lower(words.LAST_EVENT_ID): '12',
                },
            ),
            5.0,
        )
        generation = request.generation
        assert generation.model is None
        assert generation.prompt_tokens == 1460
        assert generation.parts[0] == PromptPart('5c1e07a2', 800)
        assert generation.output_tokens == 33
        assert generation.last_event_id == '12'
        assert (request.host, request.received_s) == ('desk.example', 5.0)

    @pytest.mark.parametrize(
        'parts',
        ['', 'x:1', 'ab', 'ab:', ':4', 'ab:many'],
    )
    def test_malformed_parts(self, parts: str) -> None:
        """Share nothing of a prompt whose parts can't be read."""
        request = decode_request(
            build_parsed(
                **{
                    lower(words.MODEL): 'm',
                    lower(words.TOKEN_COUNTS): '10,5',
                    lower(words.PROMPT_PREFIX): parts,
                },
            ),
            0.0,
        )
        assert request.generation.parts == ()

    @pytest.mark.parametrize('text', ['', 'soon', '-5', 'nan', 'inf'])
    def test_malformed_deadline(self, text: str) -> None:
        """Take a deadline that can't be read as none."""
        request = decode_request(
            build_parsed(**{lower(words.DEADLINE_MS): text}),
            0.0,
        )
        assert request.caller_timeout_s is None

    def test_connection_headers(self) -> None:
        """Pass on no header that concerns one connection."""
        request = decode_request(
            build_parsed(
                connection='keep-alive, x-own',
                x_own='1',
                x_other='2',
                te='trailers',
                transfer_encoding='chunked',
            ),
            0.0,
        )
        names = [header.name for header in request.headers]
        assert names == ['Host', 'x-other']


class TestCalls:
    """Write calls to engines."""

    def test_replaced_headers(self) -> None:
        """Name the model and the event to go on after, each once."""
        request = decode_request(
            build_parsed(
                **{
                    lower(words.MODEL): '*',
                    lower(words.LAST_EVENT_ID): '3',
                    lower(words.REQUEST_ID): 'r-1',
                },
            ),
            0.0,
        )
        call = build_engine_call(
            EngineCall(
                engine=build_entry('i-1'),
                request=request,
                customer='school',
                time_left_s=1.25,
                engine_priority=2,
                model='small',
                last_event_id='7',
            ),
            0.4,
        )
        named = [header.name.lower() for header in call.headers]
        assert len(named) == len(set(named))
        expected = {
            words.MODEL: 'small',
            words.LAST_EVENT_ID: '7',
            words.REQUEST_ID: 'r-1',
            words.DEADLINE_MS: '1250',
            words.EXPECT_INSTANCE: 'i-1',
            words.TENANT: 'school',
            words.PRIORITY: '2',
        }
        for name, text in expected.items():
            assert find_header(call.headers, name) == text
        assert call.host == 'Desk.example:80'


class TestHeads:
    """Read the heads of engines' answers."""

    def test_fields(self) -> None:
        """Tell stamps, confidences and ids."""
        head = decode_engine_head(
            ReplyHead(
                200,
                (
                    Header(words.STAMP, 's'),
                    Header(words.CONFIDENCE, '73'),
                    Header(words.REQUEST_ID, 'r-1'),
                    Header('Connection', 'close'),
                    Header('X-Own', 'kept'),
                ),
            ),
        )
        assert (head.stamped, head.confidence) == (True, 73)
        assert (head.request_id, head.not_run) == ('r-1', False)
        assert [each.name for each in head.headers][-1] == 'X-Own'
        assert find_header(head.headers, 'Connection') is None

    @pytest.mark.parametrize(
        ('status', 'headers', 'not_run'),
        [
            (503, (Header(words.NOT_EXECUTED, '1'),), True),
            (421, (), True),
            (503, (), False),
            (500, (), False),
        ],
    )
    def test_not_run(self, status: int, headers, not_run: bool) -> None:
        """Believe only the engine's own mark."""
        head = decode_engine_head(ReplyHead(status, headers))
        assert head.not_run is not_run

    @pytest.mark.parametrize('text', ['-1', '101', 'high', ''])
    def test_malformed_confidence(self, text: str) -> None:
        """Take a confidence that can't be read as none."""
        head = decode_engine_head(
            ReplyHead(200, (Header(words.CONFIDENCE, text),)),
        )
        assert head.confidence is None


class TestRefusals:
    """Write the heads of the gateway's own answers."""

    def test_retry_after(self) -> None:
        """Tell fractions of a second."""
        headers = build_refusal_headers('r-1', 0.25)
        assert find_header(headers, words.RETRY_AFTER) == '0.250'
        assert find_header(headers, words.REQUEST_ID) == 'r-1'
        assert find_header(headers, words.STAMP) is None
