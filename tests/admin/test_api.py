"""Test the administration API."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.admin.messages import (
    ApplyDocument,
    MakeChange,
    NodeStatus,
    PutPreset,
    encode_body,
)
from bamboodeck.admin.zones import confirm_zones

from ..configuration.examples import EXAMPLE_TEXT
from ..configuration.naive_store import Fate
from .harness import BOOTSTRAP_KEY, Host


PATH_PARTS = st.sampled_from(
    (
        *(
            'configuration',
            'check',
            'history',
            'preset',
            'versions',
            'rollouts',
            'placement',
        ),
        *('small%402', 'withdraw', 'halt', 'finish', 'engines', 'brussels-1'),
        *(
            'drain',
            'undrain',
            'keys',
            'status',
            'explain',
            '1',
            '9' * 30,
            '%00',
            '',
        ),
    )
)
BODIES = st.dictionaries(
    st.sampled_from(
        (
            *('change_id', 'preset', 'version', 'baseline', 'text', 'key_id'),
            *(
                'secret_hex',
                'expected_revision',
                'max_exposed_weight',
                'revive',
            ),
        )
    ),
    st.one_of(
        st.sampled_from(('small@2', 'small@1', 'peak', 'ab' * 16, '\n[x]')),
        st.integers(-1, 10),
        st.floats(allow_nan=False),
        st.booleans(),
    ),
)


@pytest.fixture
def host() -> Host:
    """Start a host with the example configuration in force."""
    started = Host()
    body = encode_body(ApplyDocument(EXAMPLE_TEXT, 'first', 0))
    answer = started.ask('POST', 'configuration', BOOTSTRAP_KEY, body)
    assert answer.status == 200
    return started


def get_error(answer) -> dict:
    """Return the error of an answer."""
    return json.loads(answer.body)['error']


class TestAccess:
    """Test authentication and authorization of operators."""

    @pytest.mark.parametrize('key', ['', 'school-key-1', BOOTSTRAP_KEY])
    def test_other_keys(self, host: Host, key: str) -> None:
        """Refuse callers' keys, and the bootstrap key once configured."""
        answer = host.ask('GET', 'status', key)
        assert answer.status == 401
        assert get_error(answer)['code'] == 'unknown_operator'

    def test_no_bootstrap_key(self) -> None:
        """Refuse all keys with neither configuration nor bootstrap key."""
        started = Host()
        started.api._bootstrap_key_sha256 = ''
        assert started.ask('GET', 'status', '').status == 401
        assert started.ask('GET', 'status', BOOTSTRAP_KEY).status == 401

    def test_roles(self, host: Host) -> None:
        """Let viewers read, operators change and administrators apply."""
        change = encode_body(MakeChange('a'))
        path = 'versions/small%402/withdraw'
        assert host.ask('GET', 'credits', 'viewer-key-1').status == 200
        refused = host.ask('POST', path, 'viewer-key-1', change)
        assert refused.status == 403
        assert (
            'has role viewer; this request requires role operator'
            in (get_error(refused)['message'])
        )
        assert host.ask('POST', path, 'operator-key-1', change).status == 200
        body = encode_body(ApplyDocument(EXAMPLE_TEXT, 'b', 1))
        answer = host.ask('POST', 'configuration', 'operator-key-1', body)
        assert answer.status == 403

    def test_secrets_are_for_administrators(self, host: Host) -> None:
        """Hide signing keys from all but administrators."""
        shown = host.ask('GET', 'configuration', 'viewer-key-1')
        assert b'7f3a5c1e' not in shown.body
        assert b'secret_hex = hidden' in shown.body
        past = host.ask('GET', 'configuration/history/1', 'operator-key-1')
        assert b'7f3a5c1e' not in past.body
        whole = host.ask('GET', 'configuration', 'admin-key-1')
        assert b'7f3a5c1e' in whole.body


class TestErrors:
    """Test the error responses."""

    def test_unknown_path_and_method(self, host: Host) -> None:
        """Distinguish an unknown path from an unsupported method."""
        assert host.ask('GET', 'leases', 'admin-key-1').status == 404
        assert host.ask('DELETE', 'preset', 'admin-key-1').status == 405

    @pytest.mark.parametrize(
        'body',
        [b'', b'{', b'[]', b'{"preset": 1}', b'{"preset": "x"}', b'\xff'],
    )
    def test_wrong_body(self, host: Host, body: bytes) -> None:
        """Refuse a body that has the wrong structure."""
        answer = host.ask('PUT', 'preset', 'admin-key-1', body)
        assert answer.status == 400
        assert get_error(answer)['code'] == 'refused'

    def test_faults(self, host: Host) -> None:
        """List the faults of a document."""
        text = EXAMPLE_TEXT.replace('weight = 4', 'weight = four')
        body = encode_body(ApplyDocument(text, 'b', 1, 'new.ini'))
        answer = host.ask('POST', 'configuration', 'admin-key-1', body)
        assert answer.status == 400
        faults = get_error(answer)['faults']
        assert [(fault['section'], fault['key']) for fault in faults] == [
            ('customer school-board', 'weight'),
        ]

    def test_conflict_shows_both_changes(self, host: Host) -> None:
        """Show the current change and the refused one."""
        body = encode_body(PutPreset('peak', 'b'))
        host.ask('PUT', 'preset', 'operator-key-1', body)
        body = encode_body(ApplyDocument(EXAMPLE_TEXT, 'c', 1, 'new.ini'))
        answer = host.ask('POST', 'configuration', 'admin-key-1', body)
        assert answer.status == 409
        assert get_error(answer)['current']['summary'] == 'set preset peak'
        assert 'apply new.ini' in get_error(answer)['message']

    def test_withdrawn_version_needs_revive(self, host: Host) -> None:
        """Refuse a document that brings a version back without `revive`."""
        text = EXAMPLE_TEXT.replace('state = withdrawn', 'state = steady')
        body = encode_body(ApplyDocument(text, 'b', 1))
        answer = host.ask('POST', 'configuration', 'admin-key-1', body)
        assert answer.status == 400
        assert get_error(answer)['message'] == (
            'version "large@1" is withdrawn since revision 1 and would not '
            'stay so'
        )
        body = encode_body(ApplyDocument(text, 'b', 1, 'x', ('large@1',)))
        answer = host.ask('POST', 'configuration', 'admin-key-1', body)
        assert answer.status == 200

    def test_outage(self, host: Host) -> None:
        """Report "not made" only if no swap can have taken effect."""
        body = encode_body(PutPreset('peak', 'b'))
        host.fate = Fate.REFUSED
        answer = host.ask('PUT', 'preset', 'operator-key-1', body)
        assert answer.status == 503
        assert answer.headers['Retry-After'] == '2'
        assert 'was not made' in get_error(answer)['message']


class TestAnyRequest:
    """Test arbitrary requests."""

    @given(
        st.sampled_from(('GET', 'POST', 'PUT', 'HEAD')),
        st.lists(PATH_PARTS, max_size=4).map('/'.join),
        st.one_of(st.binary(max_size=40), BODIES.map(encode_body)),
    )
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_one_answer(self, method: str, path: str, body: bytes) -> None:
        """Send exactly one JSON answer, never an internal error."""
        host = Host()
        first = encode_body(ApplyDocument(EXAMPLE_TEXT, 'first', 0))
        host.ask('POST', 'configuration', BOOTSTRAP_KEY, first)
        answer = host.ask(method, path, 'admin-key-1', body)
        assert answer.status < 500
        assert isinstance(json.loads(answer.body), dict)


class TestConfirmZones:
    """Test the confirmation of a revision by zones."""

    def test_missing_and_old_reports(self) -> None:
        """Do not count a missing or an old report as a confirmation."""
        rows = (
            NodeStatus('a1', 'a', 'entry', 7, 0, 1),
            NodeStatus('a2', 'a', 'entry', 8, 0, 9),
            NodeStatus('b1', 'b', 'entry', 7, 0, 1),
            NodeStatus('b2', 'b', 'entry', 7, 0, 11),
            NodeStatus('c1', 'c', 'entry', 0, None, None),
            NodeStatus('d1', 'd', 'entry', 6, 0, 1),
        )
        zones = confirm_zones(rows, 7)
        assert [zone.confirmed for zone in zones] == [True, False, False, False]
        assert zones[1].missing == ('b2',)
