"""Test that sessions keep their version despite failures of nodes."""

import base64

import msgspec
import pytest

from tests.system.harness import System, read_error

SESSION = 'X-Bamboodeck-Session'
KEY = 'school-key-1'


@pytest.fixture(scope='module')
def system() -> System:
    """Start two zones with two hosts each."""
    built = System(zones=2)
    built.configure()
    return built


def open_session(system: System, model: str = 'medium@1') -> str:
    """Open a session on a version and return its token."""
    answer = system.ask(
        system.host_addresses[0],
        KEY,
        headers={SESSION: 'new'},
        model=model,
    )
    assert answer.status == 200, answer.body
    headers = {each.name: each.text for each in answer.headers}
    return headers[SESSION]


def continue_session(system: System, host, token: str, key: str = KEY):
    """Send a chat in a session."""
    return system.ask(host, key, headers={SESSION: token})


class TestKeptSession:
    """Answer a session with its version."""

    def assert_kept(self, system: System, token: str) -> None:
        """Check that every host answers with the version of the session."""
        for host in system.host_addresses:
            answer = continue_session(system, host, token)
            assert answer.status == 200, answer.body
            assert msgspec.json.decode(answer.body)['model'] == 'medium@1'

    def test_restart_of_every_entry_process(self, system: System) -> None:
        """Accept the token in all zones after a restart."""
        token = open_session(system)
        self.assert_kept(system, token)
        for host in system.host_addresses:
            system.kill(f'{host.name}.entry')
            system.start_entry(host)
            system.until(system.entries[host.name].is_ready)
        self.assert_kept(system, token)

    def test_key_rotation(self, system: System) -> None:
        """Accept tokens of the previous key and sign with the new one."""
        token = open_session(system)
        body = {
            'key_id': '2027-01',
            'secret_hex': '5a' * 32,
            'change_id': 'rotate-1',
        }
        answer = system.call_admin('POST', '/admin/v1/keys', body)
        revision = msgspec.json.decode(answer.body)['revision']
        system.until(lambda: system.revisions() == {revision})
        self.assert_kept(system, token)
        self.assert_kept(system, open_session(system))

    def test_zone_in_an_outage(self, system: System) -> None:
        """Accept the token without the key-value service."""
        token = open_session(system)
        zone = system.host_addresses[2].zone
        system.cut_from_platform(zone)
        self.assert_kept(system, token)
        system.rejoin_platform(zone)


class TestRefusedSession:
    """Refuse invalid session tokens."""

    def test_forged(self, system: System) -> None:
        """Refuse a token with any byte changed."""
        token = open_session(system)
        raw = bytearray(base64.urlsafe_b64decode(token + '=='))
        for at in range(0, len(raw), 9):
            forged = bytes(raw[:at]) + bytes([raw[at] ^ 1]) + raw[at + 1 :]
            text = base64.urlsafe_b64encode(forged).rstrip(b'=').decode()
            refused = continue_session(system, system.host_addresses[0], text)
            assert refused.status == 403
            assert read_error(refused)['run'] == 'not-run'

    def test_foreign(self, system: System) -> None:
        """Refuse a token of another customer."""
        token = open_session(system)
        refused = continue_session(
            system,
            system.host_addresses[3],
            token,
            'school-key-2',
        )
        assert refused.status == 403

    def test_withdrawn_version(self, system: System) -> None:
        """Refuse rather than change the version silently."""
        token = open_session(system, 'large@2')
        answer = system.call_admin(
            'POST',
            '/admin/v1/versions/large@2/withdraw',
            {'change_id': 'withdraw-large'},
        )
        revision = msgspec.json.decode(answer.body)['revision']
        system.until(lambda: system.revisions() == {revision})
        refused = continue_session(system, system.host_addresses[3], token)
        assert refused.status == 403
        assert read_error(refused)['run'] == 'not-run'
