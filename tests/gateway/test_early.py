"""Test that a process listens before its main modules are imported."""

import runpy
import signal
import socket
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from types import ModuleType

import pytest

from bamboodeck.gateway.early import Listeners, listen_early
from bamboodeck.platform import protocol
from bamboodeck.platform.boot import parse_listen_addresses
from tests.ports import find_free_address


class TestListenAddresses:
    """Find the addresses in a settings file, whatever else is in it."""

    def test_both(self) -> None:
        """Return the addresses for callers and readiness checks."""
        text = 'ip=10.1.0.4\nlisten.front = 10.1.0.4:80\nlisten.ready=h:81\n'
        assert parse_listen_addresses(text) == (('10.1.0.4', 80), ('h', 81))

    @pytest.mark.parametrize(
        'text',
        ['', 'listen.front', 'listen.front=', 'listen.ready=10.1.0.4:x'],
    )
    def test_faults(self, text: str) -> None:
        """Leave malformed addresses to the full settings parser."""
        assert not parse_listen_addresses(text)


class TestListening:
    """Listen on the addresses that can be bound."""

    def test_taken(self) -> None:
        """Skip an address that is already in use."""
        address = find_free_address()
        pair = (address.host, address.port)
        first = listen_early([pair])
        assert not listen_early([pair])
        first[pair].close()

    def test_while_loading(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Accept connections before the program's module is imported."""
        callers = find_free_address()
        settings = tmp_path / 'settings'
        settings.write_text(f'{protocol.CALLERS_LISTEN_KEY}={callers}\n')
        monkeypatch.setenv(protocol.SETTINGS_VARIABLE, str(settings))
        connected = []

        def main(listeners: Listeners) -> None:
            pair = (callers.host, callers.port)
            with socket.create_connection(pair):
                connected.append(pair)
            listeners[pair].close()

        run_program(main, monkeypatch)
        assert connected

    @pytest.fixture(autouse=True)
    def default_signals(self) -> Iterator[None]:
        """Let SIGHUP end the process unless it is handled."""
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        yield
        signal.signal(signal.SIGHUP, before)

    def test_early_reload(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Survive a SIGHUP received while the program is imported."""
        survived = []

        def main(listeners: Listeners) -> None:
            signal.raise_signal(signal.SIGHUP)
            survived.append(listeners)

        run_program(main, monkeypatch)
        assert survived


def run_program(
    main: Callable[[Listeners], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Run the gateway's `__main__` with a replaced main function."""
    program = ModuleType('bamboodeck.gateway.program')
    program.main = main
    monkeypatch.setitem(sys.modules, program.__name__, program)
    runpy.run_module('bamboodeck.gateway', run_name='__main__')
