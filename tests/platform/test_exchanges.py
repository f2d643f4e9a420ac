"""Test the conversion of requests and responses."""

import pytest

from bamboodeck.gateway.model import EngineCall, PromptPart
from bamboodeck.http.messages import Header, ReplyHead, find_header
from bamboodeck.http.request_parser import ParsedRequest
from bamboodeck.platform import protocol
from bamboodeck.platform.exchanges import (
    MAX_TOKENS,
    build_engine_call,
    build_refusal_headers,
    decode_engine_head,
    decode_request,
)
from tests.gateway.samples import build_entry


def build_parsed(**headers: str) -> ParsedRequest:
    """Build a request; underscores in header names become hyphens."""
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


def to_argument_name(name: str) -> str:
    """Convert a header name to the name of a keyword argument."""
    return name.lower().replace('-', '_')


class TestRequests:
    """Decode callers' requests."""

    def test_generation(self) -> None:
        """Decode the token counts and the prompt parts."""
        request = decode_request(
            build_parsed(
                **{
                    to_argument_name(protocol.MODEL): '*',
                    to_argument_name(protocol.TOKEN_COUNTS): '1460,80',
                    to_argument_name(
                        protocol.PROMPT_PREFIX
                    ): '5C1e07a2:800,91bd3f06:410',
                    to_argument_name(protocol.LENGTH_HINT): '33',
                    to_argument_name(protocol.LAST_EVENT_ID): '12',
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
        """Ignore malformed prompt parts."""
        request = decode_request(
            build_parsed(
                **{
                    to_argument_name(protocol.MODEL): 'm',
                    to_argument_name(protocol.TOKEN_COUNTS): '10,5',
                    to_argument_name(protocol.PROMPT_PREFIX): parts,
                },
            ),
            0.0,
        )
        assert request.generation.parts == ()

    @pytest.mark.parametrize('text', ['', 'soon', '-5', 'nan', 'inf'])
    def test_malformed_deadline(self, text: str) -> None:
        """Treat a malformed deadline as absent."""
        request = decode_request(
            build_parsed(**{to_argument_name(protocol.DEADLINE_MS): text}),
            0.0,
        )
        assert request.caller_timeout_s is None

    def test_connection_headers(self) -> None:
        """Drop hop-by-hop headers."""
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

    @pytest.mark.parametrize('counts', ['1e30,20', '20,1e300', '1e30,1e30'])
    def test_messages_stopped_by_token_counts(self, counts: str) -> None:
        """Bound counts, so that sums of them fit the hosts' messages."""
        request = decode_request(
            build_parsed(
                **{
                    to_argument_name(protocol.MODEL): 'm',
                    to_argument_name(protocol.TOKEN_COUNTS): counts,
                    to_argument_name(protocol.LENGTH_HINT): '1e30',
                },
            ),
            0.0,
        )
        generation = request.generation
        counted = (
            generation.prompt_tokens,
            generation.max_output_tokens,
            generation.expected_output_tokens,
        )
        assert all(count <= MAX_TOKENS for count in counted)


class TestCalls:
    """Build calls to engines."""

    def test_replaced_headers(self) -> None:
        """Send the model and the last event id once each."""
        request = decode_request(
            build_parsed(
                **{
                    to_argument_name(protocol.MODEL): '*',
                    to_argument_name(protocol.LAST_EVENT_ID): '3',
                    to_argument_name(protocol.REQUEST_ID): 'r-1',
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
            protocol.MODEL: 'small',
            protocol.LAST_EVENT_ID: '7',
            protocol.REQUEST_ID: 'r-1',
            protocol.DEADLINE_MS: '1250',
            protocol.EXPECT_INSTANCE: 'i-1',
            protocol.TENANT: 'school',
            protocol.PRIORITY: '2',
        }
        for name, text in expected.items():
            assert find_header(call.headers, name) == text
        assert call.host == 'Desk.example:80'


class TestHeads:
    """Decode the heads of engines' responses."""

    def test_fields(self) -> None:
        """Decode the stamp, the confidence and the request id."""
        head = decode_engine_head(
            ReplyHead(
                200,
                (
                    Header(protocol.STAMP, 's'),
                    Header(protocol.CONFIDENCE, '73'),
                    Header(protocol.REQUEST_ID, 'r-1'),
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
            (503, (Header(protocol.NOT_EXECUTED, '1'),), True),
            (421, (), True),
            (503, (), False),
            (500, (), False),
        ],
    )
    def test_not_run(self, status: int, headers, not_run: bool) -> None:
        """Rely on the engine's marker or a 421, not on other statuses."""
        head = decode_engine_head(ReplyHead(status, headers))
        assert head.not_run is not_run

    @pytest.mark.parametrize('text', ['-1', '101', 'high', ''])
    def test_malformed_confidence(self, text: str) -> None:
        """Treat a malformed confidence as absent."""
        head = decode_engine_head(
            ReplyHead(200, (Header(protocol.CONFIDENCE, text),)),
        )
        assert head.confidence is None


class TestRefusals:
    """Build the headers of responses that the gateway generates."""

    def test_retry_after(self) -> None:
        """Send fractions of a second."""
        headers = build_refusal_headers('r-1', 0.25)
        assert find_header(headers, protocol.RETRY_AFTER) == '0.250'
        assert find_header(headers, protocol.REQUEST_ID) == 'r-1'
        assert find_header(headers, protocol.STAMP) is None
