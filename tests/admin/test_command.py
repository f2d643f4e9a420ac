"""Test the operator command line."""

import io
import json
import subprocess  # noqa: S404
import sys
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest

from bamboodeck.admin.calls import Method
from bamboodeck.admin.client import HttpClient, RequestFailedError
from bamboodeck.admin.messages import ChangeResult, ExplainView, MakeChange
from bamboodeck.admin.program import run_command
from bamboodeck.admin.session import Dependencies
from bamboodeck.environment import Environment
from bamboodeck.exit_status import ExitStatus
from bamboodeck.http.messages import Address, ApiRequest
from bamboodeck.http.responder import Responder
from bamboodeck.http.server import HttpServer

from ..configuration.examples import EXAMPLE_TEXT
from ..http.looping import build_loop, run_until
from .harness import BOOTSTRAP_KEY, CommandResult, Host

ADMIN = 'admin-key-1'


@pytest.fixture
def document(tmp_path: Path) -> Path:
    """Write the example configuration to a file."""
    path = tmp_path / 'fleet.ini'
    path.write_text(EXAMPLE_TEXT)
    return path


@pytest.fixture
def host(document: Path) -> Host:
    """Start a host and apply the example configuration."""
    started = Host()
    apply_first(started, document)
    return started


def apply_first(host: Host, document: Path) -> CommandResult:
    """Apply the first configuration with the bootstrap key."""
    arguments = ('config', 'apply', str(document), '--expected-revision', '0')
    return host.run(BOOTSTRAP_KEY, *arguments)


class TestChanges:
    """Test changes and their confirmation by the zones."""

    def test_confirmed_in_all_zones(self, host: Host) -> None:
        """Report each zone and exit with success."""
        result = host.run(ADMIN, 'preset', 'set', 'peak')
        assert result.status is ExitStatus.SUCCESS
        assert 'flanders-a  in force  1/1' in result.stdout
        assert 'wallonia-a  in force  1/1' in result.stdout
        assert 'event=operator_change_made operator=ada' in host.log.getvalue()
        shown = host.run(ADMIN, 'preset', 'show', '--json')
        assert shown.content['in_force'] == 'peak'

    def test_cut_off_zone_is_not_confirmed(self, host: Host) -> None:
        """Name the zone, wait for at most `--wait-s` and exit NOT_CONFIRMED."""
        host.view.cut_off = True
        started_s = host.now_s
        arguments = ('version', 'withdraw', 'small@2', '--wait-s', '3')
        result = host.run(ADMIN, *arguments, '--json')
        assert result.status is ExitStatus.NOT_CONFIRMED
        assert not result.content['confirmed']
        states = {
            zone['zone']: zone['confirmed'] for zone in result.content['zones']
        }
        assert states == {'flanders-a': True, 'wallonia-a': False}
        assert 'is not confirmed in: wallonia-a' in result.stderr
        assert host.now_s == started_s + 3

    def test_no_answer(self, host: Host) -> None:
        """Name the change id to retry with; the retry changes nothing."""
        host.reachable = False
        unanswered = host.run(
            ADMIN, 'drain', 'brussels-1', '--change-id', 'mine'
        )
        assert unanswered.status is ExitStatus.NOT_CONFIRMED
        assert 'retry it with --change-id mine' in unanswered.stderr
        host.reachable = True
        changes = len(host.store.log)
        repeated = host.run(ADMIN, 'drain', 'brussels-1', '--change-id', 'mine')
        assert repeated.status is ExitStatus.SUCCESS
        assert len(host.store.log) == changes

    def test_all_small_changes(self, host: Host) -> None:
        """Drain, roll out, finish, halt and rotate."""
        for arguments in (
            'drain brussels-1',
            'drain brussels-1 --undo',
            'rollout finish small@2',
            'rollout start medium@1 --baseline small@1 --max-exposed-weight 9',
            'rollout halt medium@1',
            'key rotate 2027-01',
        ):
            result = host.run(ADMIN, *arguments.split())
            assert result.status is ExitStatus.SUCCESS, result.stderr
        configuration = host.replica.configuration
        medium = configuration.models_by_name['medium@1']
        assert medium.state.value == 'withdrawn'
        assert configuration.signing_keys[0].key_id == '2027-01'
        assert len(configuration.signing_keys) == 3

    def test_refused_change(self, host: Host) -> None:
        """Exit with BAD_INPUT and the reason."""
        result = host.run(ADMIN, 'version', 'withdraw', 'huge@1')
        assert result.status is ExitStatus.BAD_INPUT
        assert result.stderr == 'bamboodeck: version "huge@1" does not exist\n'


class TestConfig:
    """Test checking, showing, applying and comparing documents."""

    def test_check_without_server(self, document: Path) -> None:
        """Check a file without a server and report each fault."""
        document.write_text(EXAMPLE_TEXT.replace('= yes', '= maybe'))
        environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
        status = run_command(
            ('config', 'check', str(document)),
            Dependencies(environment),
        )
        assert status is ExitStatus.BAD_INPUT
        faults = environment.stderr.getvalue().splitlines()
        assert len(faults) == EXAMPLE_TEXT.count('= yes')

    def test_show_edit_apply(self, host: Host, document: Path) -> None:
        """Apply an edited document; applying it again is a conflict."""
        shown = host.run(ADMIN, 'config', 'show').stdout
        document.write_text(shown.replace('max_load = 0.85', 'max_load = 0.7'))
        diff = host.run(ADMIN, 'config', 'diff', str(document))
        assert '-max_load = 0.85\n+max_load = 0.7\n' in diff.stdout
        result = host.run(ADMIN, 'config', 'apply', str(document))
        assert result.status is ExitStatus.SUCCESS
        assert host.replica.configuration.preset.max_load == 0.7
        repeated = host.run(ADMIN, 'config', 'apply', str(document))
        assert repeated.status is ExitStatus.CONFLICT
        assert 'expected revision 1, but revision' in repeated.stderr

    def test_first_apply(self, document: Path) -> None:
        """Report NOT_CONFIRMED, as the change invalidates the bootstrap key."""
        started = Host()
        first = apply_first(started, document)
        assert first.status is ExitStatus.NOT_CONFIRMED
        assert (
            'status request refused: key does not belong to an operator'
            in first.stderr
        )
        assert started.replica.revision == 1
        status = started.run(ADMIN, 'status')
        assert 'NOT CONFIRMED' not in status.stdout

    def test_apply_needs_a_revision(self, host: Host, document: Path) -> None:
        """Refuse a file without the revision that it replaces."""
        result = host.run(ADMIN, 'config', 'apply', str(document))
        assert result.status is ExitStatus.BAD_INPUT
        assert 'give --expected-revision' in result.stderr

    def test_history_and_past(self, host: Host) -> None:
        """List changes, newest first, and show a past document."""
        host.run(ADMIN, 'preset', 'set', 'peak')
        listed = host.run('viewer-key-1', 'config', 'history')
        assert 'set preset peak' in listed.stdout.splitlines()[1]
        past = host.run(ADMIN, 'config', 'show', '--revision', '1')
        assert past.stdout == f'# revision 1\n{EXAMPLE_TEXT}'


class TestReports:
    """Test the reports on the running system."""

    @pytest.mark.parametrize(
        ('arguments', 'expected'),
        [
            ('status', 'entry-2  wallonia-a  entry  serving  1'),
            ('placement', 'flanders-a  yes     3      small@1'),
            ('credits', '88,799.5000'),
            ('bills --customer medena-desk', 'medena-desk  3'),
            ('rollout status', 'exposing  12.5/200'),
            ('explain request/1', 'route_chosen  small@1'),
            ('preset show', 'ordinary     in force'),
        ],
    )
    def test_table_and_json(
        self,
        host: Host,
        arguments: str,
        expected: str,
    ) -> None:
        """Write a table for people and JSON for programs."""
        table = host.run('viewer-key-1', *arguments.split())
        assert table.status is ExitStatus.SUCCESS, table.stderr
        assert expected in table.stdout
        written = host.run('viewer-key-1', *arguments.split(), '--json')
        assert isinstance(json.loads(written.stdout), dict)

    def test_unknown_request(self, host: Host) -> None:
        """Report that no decision is known."""
        explained = host.run('viewer-key-1', 'explain', 'other')
        assert explained.status is ExitStatus.ERROR
        assert 'no decision about request "other"' in explained.stderr


class TestHttpClient:
    """Test the HTTP client."""

    def test_round_trip(self, host: Host) -> None:
        """Send a body; read a result and an error."""
        loop = build_loop()

        def answer(request: ApiRequest, responder: Responder) -> None:
            host.api.handle(request, responder.respond)
            host.store.answer_all()

        server = HttpServer(loop, Address('127.0.0.1', 0), answer)
        client = HttpClient(server.address, ADMIN)
        with ThreadPoolExecutor() as pool:
            body = MakeChange('mine')
            path = 'versions/small%402/withdraw'
            call = partial(client.call, body=body)
            accepted = pool.submit(call, Method.POST, path, ChangeResult)
            run_until(loop, accepted.done)
            path = 'explain/request%2F2'
            rejected = pool.submit(client.call, Method.GET, path, ExplainView)
            run_until(loop, rejected.done)
        assert accepted.result().change_id == 'mine'
        assert isinstance(rejected.exception(), RequestFailedError)
        assert '"request/2"' in str(rejected.exception())


class TestProgram:
    """Test the program as a subprocess."""

    def test_usage_and_unreachable_server(self) -> None:
        """Exit with BAD_INPUT on wrong usage, UNAVAILABLE without a server."""
        program = (sys.executable, '-m', 'bamboodeck.admin')
        usage = subprocess.run(  # noqa: S603
            (*program, 'preset', 'change'),
            capture_output=True,
            check=False,
        )
        assert usage.returncode == ExitStatus.BAD_INPUT
        unreachable = subprocess.run(  # noqa: S603
            (*program, 'status', '--server', '127.0.0.1:9'),
            capture_output=True,
            check=False,
        )
        assert unreachable.returncode == ExitStatus.UNAVAILABLE
        assert b'no answer from 127.0.0.1:9' in unreachable.stderr
