"""Test the command line of the stand-ins."""

import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner

from bamboodeck.fakes.commands import group
from bamboodeck.fakes.crash import CRASH_STATUS
from bamboodeck.http.messages import Address, HttpFailed, HttpReply
from tests.fakes.peers import Peer
from tests.http.looping import build_loop
from tests.ports import find_free_address

LISTEN = ('--listen', '127.0.0.1:9')


class TestOptions:
    """Reject invalid options with exit status 2."""

    @pytest.mark.parametrize(
        ('options', 'named'),
        [
            (('orders', '--listen', 'here'), 'IP:PORT'),
            (('rating', *LISTEN, '--quality', 'a@1'), 'VERSION[:CLASS]=SCORE'),
            (('rating', *LISTEN, '--quality', 'a@1=2'), 'a@1=2'),
            (('engine', *LISTEN, '--name', 'e1'), '--versions'),
            (('host-list', *LISTEN, '--hosts', '/missing'), '/missing'),
            (
                ('links', '--control', '127.0.0.1:9', '--route', 'west'),
                'IP:PORT',
            ),
        ],
    )
    def test_bad_options(self, options, named) -> None:
        """Name the invalid option or value."""
        ran = CliRunner().invoke(group, options)
        assert ran.exit_code == 2
        assert named in ran.output


class TestProcess:
    """Run one stand-in as a process."""

    def start(self, port: int) -> tuple[subprocess.Popen, Peer]:
        """Start an order service and wait until it answers."""
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bamboodeck.fakes',
                'orders',
                '--listen',
                f'127.0.0.1:{port}',
            ],
            stderr=subprocess.PIPE,
        )
        peer = Peer(build_loop(), Address('127.0.0.1', port))
        process.stderr.readline()
        assert isinstance(peer.try_call('GET', '/ready'), HttpReply)
        return process, peer

    @pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
    def test_signal_ends_it_with_success(self, number) -> None:
        """Exit with 0."""
        process, _ = self.start(find_free_address().port)
        process.send_signal(number)
        process.communicate(timeout=20)
        assert process.returncode == 0

    def test_crash_ends_it_at_once(self) -> None:
        """Exit with the crash status and send no response."""
        process, peer = self.start(find_free_address().port)
        peer.order('crash_after_run')
        assert isinstance(peer.try_call('POST', '/pay', ''), HttpFailed)
        process.communicate(timeout=20)
        assert process.returncode == CRASH_STATUS

    def test_address_in_use(self) -> None:
        """Exit with the status UNAVAILABLE."""
        port = find_free_address().port
        process, _ = self.start(port)
        listen = ('orders', '--listen', f'127.0.0.1:{port}')
        second = CliRunner().invoke(group, listen)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=20)
        assert second.exit_code == 5
