"""Test the model engine stand-in over HTTP."""

from unittest.mock import Mock

import msgspec
import pytest

from bamboodeck.environment import Environment
from bamboodeck.fakes.engine.batch import TICK_S
from bamboodeck.fakes.engine.generation import Generation
from bamboodeck.fakes.engine.messages import ChatRequest, EngineSettings
from bamboodeck.fakes.engine.server import ModelEngine
from bamboodeck.fakes.engine.text import BAD_MARKER
from bamboodeck.http.messages import HttpFailed, find_header
from tests.fakes.peers import ANY_PORT, Peer, build_log, start_peer
from tests.http.looping import build_loop, run_until
from tests.virtual_store import VirtualClock

CHAT = '/v1/chat/completions'
FAST = EngineSettings(
    'e1',
    ('a@1', 'b@2'),
    first_token_s=0,
    token_s=0,
    load_lag_s=0,
    load_version_s=0,
    cache_lag_s=0,
    cache_gap_ratio=0,
)


def start_engine(settings: EngineSettings = FAST, **more):
    """Start an engine."""
    return start_peer(ModelEngine, settings, **more)


def build_chat(request_id: str = 'r1', **fields):
    """Build a streamed request."""
    chat = {
        'model': 'a@1',
        'messages': [{'role': 'user', 'content': 'fit a blazer'}],
        'request_id': request_id,
        'stream': True,
        'max_tokens': 20,
    }
    return {**chat, **fields}


class TestAnswers:
    """Answer in the OpenAI format and deterministically."""

    def test_stream_and_whole_agree(self) -> None:
        """Return the same tokens and usage with and without streaming."""
        _, peer = start_engine()
        streamed = peer.stream_whole(CHAT, build_chat())
        whole = peer.call('POST', CHAT, build_chat(stream=False))
        text = ''.join(token for _, token in streamed.tokens)
        assert text == whole['choices'][0]['message']['content']
        assert streamed.chunks[-1]['usage'] == whole['usage']
        assert streamed.body.endswith(b'data: [DONE]\n\n')
        assert whole['usage']['completion_tokens'] == 20
        assert whole['choices'][0]['finish_reason'] == 'length'

    def test_offsets_count_the_tokens(self) -> None:
        """Number the tokens and report their total in the last chunk."""
        _, peer = start_engine()
        streamed = peer.stream_whole(CHAT, build_chat())
        assert [offset for offset, _ in streamed.tokens] == list(range(20))
        assert streamed.chunks[-1]['offset'] == 20

    def test_natural_end(self) -> None:
        """Finish with `stop` when `max_tokens` is not reached."""
        _, peer = start_engine()
        whole = peer.call(
            'POST',
            CHAT,
            build_chat(stream=False, max_tokens=9999),
        )
        assert whole['choices'][0]['finish_reason'] == 'stop'

    @pytest.mark.parametrize('offset', [0, 7, 19, 20, 50])
    def test_resumed_stream_continues(self, offset) -> None:
        """Return the remaining tokens from an offset on."""
        _, peer = start_engine()
        whole = peer.stream_whole(CHAT, build_chat())
        rest = peer.stream_whole(CHAT, build_chat(resume_from=offset))
        assert rest.tokens == whole.tokens[offset:]
        assert rest.chunks[-1]['usage'] == whole.chunks[-1]['usage']

    def test_echo_shows_tag_and_offset(self) -> None:
        """Build the tokens from the `[echo:TAG]` directive of the prompt."""
        _, peer = start_engine()
        asked = [{'role': 'user', 'content': 'A [echo:r-1] size'}]
        streamed = peer.stream_whole(
            CHAT,
            build_chat(messages=asked, max_tokens=3, resume_from=1),
        )
        assert streamed.tokens == [(1, 'r-1.1 '), (2, 'r-1.2 ')]

    def test_record_counts_what_was_generated(self) -> None:
        """Sum the generated tokens over all attempts of a request."""
        _, peer = start_engine()
        peer.stream_whole(CHAT, build_chat())
        peer.stream_whole(CHAT, build_chat(resume_from=15))
        kept = peer.call('GET', '/record')['requests']['r1']
        assert kept['tokens'] == 25
        assert [each['outcome'] for each in kept['attempts']] == [
            'finished',
            'finished',
        ]


class TestRefusals:
    """Reject requests with an error code."""

    @pytest.mark.parametrize(
        ('fields', 'status', 'code'),
        [
            ({'model': 'c@3'}, 404, 'unknown_version'),
            ({'max_tokens': 0}, 400, 'bad_request'),
            ({'resume_from': -1}, 400, 'bad_request'),
            ({'request_id': ''}, 400, 'bad_request'),
            ({'messages': 'text'}, 400, 'bad_request'),
        ],
    )
    def test_bad_requests(self, fields, status, code) -> None:
        """Return the status and the error code."""
        _, peer = start_engine()
        reply = peer.try_call('POST', CHAT, build_chat(**fields))
        assert reply.status == status
        assert msgspec.json.decode(reply.body)['error']['code'] == code

    def test_full_queue(self) -> None:
        """Reject with Retry-After once the batch and the queue are full."""
        slow = EngineSettings(
            'e1', ('a@1',), first_token_s=60, capacity=1, queue_limit=1
        )
        engine, peer = start_engine(slow)
        for number in range(2):
            peer.stream(CHAT, build_chat(f'r{number}'))
        run_until(peer.loop, lambda: engine.batch.queued_count == 1)
        reply = peer.try_call('POST', CHAT, build_chat('r3'))
        assert reply.status == 503
        assert find_header(reply.headers, 'Retry-After') == '1'

    def test_leaving_finishes_and_rejects_new_requests(self) -> None:
        """Report `leaving` in a header and in the load report."""
        engine, peer = start_engine(
            EngineSettings('e1', ('a@1',), first_token_s=0.2, load_lag_s=0),
        )
        running = peer.stream(CHAT, build_chat())
        run_until(peer.loop, lambda: bool(engine.batch.running))
        peer.order('leaving')
        reply = peer.try_call('POST', CHAT, build_chat('r2'))
        assert reply.status == 503
        assert find_header(reply.headers, 'x-engine-leaving') == '1'
        assert peer.call('GET', '/load')['leaving']
        run_until(peer.loop, lambda: running.ended)
        assert running.whole


class TestBatch:
    """Run a batch of limited capacity by priority."""

    def test_higher_priority_starts_first(self) -> None:
        """Start the queued completion with the highest priority."""
        one = EngineSettings('e1', ('a@1',), first_token_s=0.1, capacity=1)
        engine, peer = start_engine(one)
        first = peer.stream(CHAT, build_chat('first'))
        run_until(peer.loop, lambda: bool(engine.batch.running))
        peer.stream(CHAT, build_chat('low', priority=1))
        peer.stream(CHAT, build_chat('high', priority=5))
        run_until(peer.loop, lambda: engine.batch.queued_count == 2)
        run_until(peer.loop, lambda: first.ended)
        running = [
            each.request.request_id for each in engine.batch.running.values()
        ]
        assert running == ['high']

    def test_cancel_ends_running_and_queued(self) -> None:
        """Cancel both and release their capacity."""
        one = EngineSettings('e1', ('a@1',), first_token_s=60, capacity=1)
        engine, peer = start_engine(one)
        running = peer.stream(CHAT, build_chat('r1'))
        run_until(peer.loop, lambda: bool(engine.batch.running))
        peer.stream(CHAT, build_chat('r2'))
        run_until(peer.loop, lambda: engine.batch.queued_count == 1)
        peer.call('POST', '/v1/cancel', {'request_id': 'r2'})
        assert engine.batch.queued_count == 0
        peer.call('POST', '/v1/cancel', {'request_id': 'r1'})
        run_until(peer.loop, lambda: running.ended)
        assert not engine.batch.running
        kept = peer.call('GET', '/record')['requests']
        assert kept['r1']['attempts'][0]['outcome'] == 'cancelled'

    def test_disconnected_caller_releases_capacity(self) -> None:
        """Cancel a completion whose caller closed the connection."""
        slow = EngineSettings('e1', ('a@1',), token_s=60, first_token_s=0)
        engine, peer = start_engine(slow)
        peer.stream(CHAT, build_chat())
        run_until(peer.loop, lambda: bool(engine.batch.running))
        for running in tuple(engine.batch.running.values()):
            connection = running.responder._client.connection
            connection.abort()
        assert not engine.batch.running

    def test_load_report_lags(self) -> None:
        """Report an older state until the lag is over."""
        lagging = EngineSettings(
            'e1', ('a@1',), first_token_s=60, load_lag_s=0.3
        )
        # Reports are renewed at multiples of the lag on the loop's clock.
        clock = VirtualClock(start_s=6.0)
        loop = build_loop(Environment(monotonic_s=clock.read_s))
        engine = ModelEngine(loop, ANY_PORT, lagging, build_log())
        peer = Peer(loop, engine.stand_in.address)
        peer.stream(CHAT, build_chat())
        run_until(loop, lambda: bool(engine.batch.running))
        clock.run(0.29)
        assert peer.call('GET', '/load')['running'] == 0
        clock.run(0.02)
        loop.tick(0)
        assert peer.call('GET', '/load')['running'] == 1


class TestCacheEvents:
    """Publish which prefixes are cached."""

    def test_events_have_numbers(self) -> None:
        """Report stored and evicted prefixes after a number."""
        settings = EngineSettings(
            'e1',
            ('a@1',),
            first_token_s=0,
            token_s=0,
            cache_prefixes=2,
            cache_lag_s=0,
            cache_gap_ratio=0,
        )
        _, peer = start_engine(settings)
        messages = [{'role': 'user', 'content': 'x' * 800}]
        peer.stream_whole(CHAT, build_chat(messages=messages))
        events = peer.call('GET', '/cache_events')['events']
        assert [each['number'] for each in events] == [1, 2, 3, 4]
        assert [each['kind'] for each in events].count('evicted') == 1
        later = peer.call('GET', '/cache_events?after=3')['events']
        assert later == events[3:]

    def test_gaps_skip_numbers(self) -> None:
        """Omit some events, which leaves gaps in the numbers."""
        settings = EngineSettings(
            'e1',
            ('a@1',),
            first_token_s=0,
            token_s=0,
            cache_lag_s=0,
            cache_gap_ratio=0.5,
            seed=3,
        )
        _, peer = start_engine(settings)
        messages = [{'role': 'user', 'content': 'x' * 8000}]
        peer.stream_whole(CHAT, build_chat(messages=messages))
        events = peer.call('GET', '/cache_events')['events']
        assert 0 < len(events) < 31
        assert events[-1]['number'] > len(events)


class TestOrders:
    """Execute orders, with a check of the fencing number if enabled."""

    def test_load_and_unload(self) -> None:
        """Change the versions that the engine serves."""
        _, peer = start_engine()
        load = {'action': 'load', 'version': 'c@3', 'fencing_number': 4}
        assert 'c@3' in peer.call('POST', '/orders', load)['versions']
        unload = {'action': 'unload', 'version': 'a@1', 'fencing_number': 5}
        assert 'a@1' not in peer.call('POST', '/orders', unload)['versions']
        assert peer.try_call('POST', CHAT, build_chat()).status == 404
        recorded = peer.call('GET', '/record')['orders']
        assert [each['fencing_number'] for each in recorded] == [4, 5]

    def test_old_fencing_number_is_rejected(self) -> None:
        """Reject an outdated fencing number, unless fencing is ignored."""
        _, peer = start_engine()
        new = {'action': 'role', 'role': 'decode', 'fencing_number': 9}
        old = {'action': 'role', 'role': 'prefill', 'fencing_number': 8}
        peer.call('POST', '/orders', new)
        assert peer.try_call('POST', '/orders', old).status == 409
        peer.order('ignore_fencing')
        assert peer.call('POST', '/orders', old)['role'] == 'prefill'

    def test_unknown_action(self) -> None:
        """Reject an order with an unknown action."""
        _, peer = start_engine()
        bad = {'action': 'explode', 'fencing_number': 1}
        assert peer.try_call('POST', '/orders', bad).status == 400


class TestFaults:
    """Inject faults into the completions."""

    def test_crash_on_marker(self) -> None:
        """Crash only on a prompt that contains the marker."""
        crashes: list = []
        _, peer = start_engine(crash=lambda: crashes.append(True))
        peer.order('crash_on_marker', marker='blazer')
        other = [{'role': 'user', 'content': 'a skirt'}]
        assert peer.stream_whole(CHAT, build_chat(messages=other)).whole
        assert not crashes
        assert peer.stream_whole(CHAT, build_chat()).failure
        assert crashes

    def test_broken_stream_can_be_resumed(self) -> None:
        """Abort a stream after some tokens and resume it from there."""
        _, peer = start_engine()
        whole = peer.stream_whole(CHAT, build_chat())
        peer.order('break_stream', after_tokens=8)
        broken = peer.stream_whole(CHAT, build_chat())
        assert broken.failure
        assert len(broken.tokens) == 8
        rest = peer.stream_whole(CHAT, build_chat(resume_from=8))
        assert broken.tokens + rest.tokens == whole.tokens

    def test_break_without_streaming(self) -> None:
        """Abort without a partial answer when streaming is off."""
        _, peer = start_engine()
        peer.order('break_stream', after_tokens=8)
        outcome = peer.try_call('POST', CHAT, build_chat(stream=False))
        assert isinstance(outcome, HttpFailed)

    @pytest.mark.parametrize(
        'order',
        [
            {'fault': 'duplicate_chunks', 'every': 3},
            {'fault': 'reorder_chunks', 'every': 4},
            {'fault': 'delay_chunks', 'every': 5, 'delay_ms': 10},
        ],
    )
    def test_faulty_stream_contains_every_token(self, order) -> None:
        """Contain the same tokens once sorted and without duplicates."""
        _, peer = start_engine()
        whole = peer.stream_whole(CHAT, build_chat())
        peer.call('POST', '/control', order)
        faulty = peer.stream_whole(CHAT, build_chat())
        assert sorted(set(faulty.tokens)) == whole.tokens
        assert faulty.whole
        if order['fault'] != 'delay_chunks':
            assert faulty.tokens != whole.tokens

    def test_chunk_of_another_request(self) -> None:
        """Insert one chunk of another request into the stream."""
        _, peer = start_engine()
        peer.order('wrong_request_id', at_token=5)
        streamed = peer.stream_whole(CHAT, build_chat())
        foreign = [each for each in streamed.chunks if each['id'] != 'r1']
        assert [each['offset'] for each in foreign] == [5]

    def test_crash_in_the_last_chunk(self) -> None:
        """Send every token and half of the last chunk, then crash."""
        crashes: list = []
        _, peer = start_engine(crash=lambda: crashes.append(True))
        peer.order('die_in_last_chunk', exits=True)
        streamed = peer.stream_whole(CHAT, build_chat())
        assert streamed.failure
        assert len(streamed.tokens) == 20
        assert b'[DONE]' not in streamed.body
        assert crashes

    def test_bad_quality_marks_one_version(self) -> None:
        """Mark the completions of the given version only."""
        _, peer = start_engine()
        peer.order('bad_quality', version='a@1')
        bad = peer.stream_whole(CHAT, build_chat())
        good = peer.stream_whole(CHAT, build_chat(model='b@2'))
        assert BAD_MARKER.encode() in bad.body
        assert BAD_MARKER.encode() not in good.body

    def test_frozen_stream_continues(self) -> None:
        """Send nothing while frozen and lose no token afterwards."""
        slow = EngineSettings('e1', ('a@1',), first_token_s=0, token_s=0.01)
        _, peer = start_engine(slow)
        streamed = peer.stream(CHAT, build_chat())
        run_until(peer.loop, lambda: bool(streamed.tokens))
        peer.order('freeze', for_s=0.2)
        run_until(peer.loop, lambda: streamed.ended)
        assert [offset for offset, _ in streamed.tokens] == list(range(20))


class TestBatchSlots:
    """Guard against a completion scheduled in a slot already served."""

    def test_start_crosses_a_slot_boundary(self) -> None:
        """Generate every token if the clock reaches a later slot meanwhile."""
        now_s = [10.0]
        loop = build_loop()
        engine = ModelEngine(loop, ANY_PORT, FAST, build_log())
        loop.scheduler._clock_s = lambda: now_s[0]
        responder = Mock()
        responder.congested = False
        responder.start_stream.side_effect = lambda *_: now_s.append(
            now_s.pop() + 1.5 * TICK_S,
        )
        chat = msgspec.convert(build_chat(), ChatRequest)
        generation = Generation(chat, responder, 64, 0, bad=False)
        engine.batch.submit(generation, 0)
        for _ in range(10):
            now_s[0] += TICK_S
            loop.scheduler.run_due()
        assert generation.complete
