"""Test the key-value stand-in against the etcd JSON gateway format."""

import base64

import msgspec
import pytest

from bamboodeck.fakes.key_value.server import (
    KeyValueService,
    KeyValueSettings,
)
from tests.fakes.peers import Peer, start_peer
from tests.http.looping import run_until

PUT = '/v3/kv/put'
RANGE = '/v3/kv/range'
TXN = '/v3/kv/txn'


def start_service() -> Peer:
    """Start a service."""
    return start_peer(KeyValueService, KeyValueSettings())[1]


def encode(text: str) -> str:
    """Encode a text as base64."""
    return base64.b64encode(text.encode()).decode()


def compare(target: str, result: str, **operand: str):
    """Build a comparison on the key `a`."""
    return {'key': encode('a'), 'target': target, 'result': result, **operand}


class TestFormat:
    """Encode 64-bit integers as strings and omit zero values."""

    def test_range(self) -> None:
        """Return an entry with the same fields as etcd."""
        peer = start_service()
        put = {'key': encode('a'), 'value': encode('x')}
        assert peer.call('POST', PUT, put)['header']['revision'] == '2'
        peer.call('POST', PUT, put)
        reply = peer.call('POST', RANGE, {'key': encode('a')})
        assert reply['kvs'] == [
            {
                'key': encode('a'),
                'value': encode('x'),
                'create_revision': '2',
                'mod_revision': '3',
                'version': '2',
            },
        ]
        assert reply['count'] == '1'

    def test_empty_range_has_only_a_header(self) -> None:
        """Omit the entries and their count."""
        peer = start_service()
        reply = peer.call('POST', RANGE, {'key': encode('a')})
        assert list(reply) == ['header']

    def test_delete_range(self) -> None:
        """Return the number of deleted keys."""
        peer = start_service()
        for key in ('a1', 'a2', 'b'):
            peer.call('POST', PUT, {'key': encode(key)})
        ends = {'key': encode('a'), 'range_end': encode('b')}
        assert peer.call('POST', '/v3/kv/deleterange', ends)['deleted'] == '2'
        again = peer.call('POST', '/v3/kv/deleterange', ends)
        assert 'deleted' not in again
        assert again['header']['revision'] == '5'

    def test_camel_case_fields(self) -> None:
        """Accept both spellings that protobuf's JSON form allows."""
        peer = start_service()
        put = {'key': encode('a'), 'value': encode('x')}
        reply = peer.call('POST', TXN, {'success': [{'requestPut': put}]})
        assert reply['succeeded']
        assert peer.call('POST', RANGE, {'key': encode('a')})['count'] == '1'

    def test_lease(self) -> None:
        """Grant, renew and revoke a lease."""
        peer = start_service()
        lease = peer.call('POST', '/v3/lease/grant', {'TTL': '60'})
        asked = {'ID': lease['ID']}
        kept = peer.call('POST', '/v3/lease/keepalive', asked)
        assert kept['result']['TTL'] == '60'
        peer.call('POST', '/v3/kv/lease/revoke', asked)
        gone = peer.call('POST', '/v3/lease/keepalive', asked)
        assert 'TTL' not in gone['result']
        reply = peer.try_call('POST', '/v3/lease/revoke', asked)
        assert reply.status == 404
        assert msgspec.json.decode(reply.body)['code'] == 5

    def test_watch_lines(self) -> None:
        """Send one result per line; the type PUT is omitted."""
        peer = start_service()
        create = {'create_request': {'key': encode('a')}}
        watch = peer.stream('/v3/watch', create)
        run_until(peer.loop, lambda: b'\n' in watch.body)
        peer.call('POST', PUT, {'key': encode('a')})
        peer.call('POST', '/v3/kv/deleterange', {'key': encode('a')})
        run_until(peer.loop, lambda: watch.body.count(b'\n') == 3)
        lines = [
            msgspec.json.decode(line)['result']
            for line in watch.body.splitlines()
        ]
        assert lines[0]['created']
        assert 'type' not in lines[1]['events'][0]
        assert lines[2]['events'][0]['type'] == 'DELETE'

    def test_counters(self) -> None:
        """Count the calls by path and the open watches."""
        peer = start_service()
        create = {'create_request': {'key': encode('a')}}
        watch = peer.stream('/v3/watch', create)
        run_until(peer.loop, lambda: bool(watch.body))
        peer.call('POST', PUT, {'key': encode('a')})
        stats = peer.call('GET', '/stats')
        assert stats['waiting_watches'] == 1
        assert stats['calls']['POST /v3/kv/put'] == 1

    @pytest.mark.parametrize(
        ('path', 'body'),
        [
            (RANGE, {}),
            (RANGE, {'key': 'not base64!'}),
            (RANGE, {'key': 5}),
            (RANGE, []),
            (PUT, {'key': encode('a'), 'lease': 'x'}),
            (TXN, {'compare': {}}),
            (TXN, {'compare': ['x']}),
            (TXN, {'success': [{'request_put': []}]}),
            (TXN, {'success': [{}]}),
            (TXN, {'compare': [{'key': encode('a'), 'target': 'MOOD'}]}),
            (TXN, {'compare': [{'key': encode('a'), 'result': 'NEAR'}]}),
            ('/v3/lease/grant', {'TTL': '0'}),
            ('/v3/watch', {}),
        ],
    )
    def test_malformed_requests_are_rejected(self, path, body) -> None:
        """Reject with status 400 and keep serving."""
        peer = start_service()
        assert peer.try_call('POST', path, body).status == 400
        assert peer.call('POST', RANGE, {'key': encode('a')})


class TestTransactions:
    """Evaluate comparisons and run one branch atomically."""

    @pytest.mark.parametrize(
        ('comparison', 'holds'),
        [
            (compare('MOD', 'EQUAL', mod_revision='2'), True),
            (compare('MOD', 'GREATER', mod_revision='2'), False),
            (compare('MOD', 'LESS', mod_revision='3'), True),
            (compare('CREATE', 'NOT_EQUAL', create_revision='0'), True),
            (compare('VERSION', 'EQUAL', version='1'), True),
            (compare('VALUE', 'EQUAL', value=encode('x')), True),
            (compare('VALUE', 'EQUAL', value=encode('y')), False),
            (compare('LEASE', 'EQUAL', lease='0'), True),
        ],
    )
    def test_comparisons(self, comparison, holds) -> None:
        """Evaluate each comparison target."""
        peer = start_service()
        peer.call('POST', PUT, {'key': encode('a'), 'value': encode('x')})
        reply = peer.call('POST', TXN, {'compare': [comparison]})
        assert reply.get('succeeded', False) is holds

    def test_all_or_nothing(self) -> None:
        """Change nothing if one operation fails."""
        peer = start_service()
        good = {'request_put': {'key': encode('a')}}
        bad = {'request_put': {'key': encode('b'), 'lease': '99'}}
        reply = peer.try_call('POST', TXN, {'success': [good, bad]})
        assert reply.status == 404
        shown = peer.call('POST', RANGE, {'key': encode('a')})
        assert 'kvs' not in shown

    def test_one_revision(self) -> None:
        """Apply all changes of a transaction at one revision."""
        peer = start_service()
        puts = [{'request_put': {'key': encode(key)}} for key in ('a', 'b')]
        peer.call('POST', TXN, {'success': puts})
        ends = {'key': encode('a'), 'range_end': encode('z')}
        reply = peer.call('POST', RANGE, ends)
        assert [each['mod_revision'] for each in reply['kvs']] == ['2', '2']
