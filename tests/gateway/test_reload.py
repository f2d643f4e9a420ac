"""Test that changed settings are applied, and invalid ones are not."""

from pathlib import Path

import msgspec
import pytest

from bamboodeck.errors import InputError
from bamboodeck.gateway.model import Bounds, HostSettings
from bamboodeck.gateway.reload import SettingsSource, SettingsWatch
from tests.gateway.harness import GatewayHarness


class SessionParser:
    """Parse a file that holds only the session length."""

    def __init__(self, settings: HostSettings) -> None:
        """Keep the other settings."""
        self.settings = settings

    def __call__(self, text: str) -> HostSettings:
        """Parse the number; raise `InputError`."""
        try:
            session_s = float(text)
        except ValueError:
            raise InputError(f'"{text}" is no number')
        return msgspec.structs.replace(
            self.settings,
            bounds=Bounds(session_s=session_s),
        )


class TestReload:
    """Reload the file after a signal, or when it has changed."""

    @pytest.fixture
    def harness(self, monkeypatch: pytest.MonkeyPatch) -> GatewayHarness:
        """Run a gateway that checks the file often."""
        monkeypatch.setattr(
            'bamboodeck.gateway.reload.CHECK_PERIOD_S',
            0.05,
        )
        return GatewayHarness()

    def watch(self, harness: GatewayHarness, path: Path) -> SettingsWatch:
        """Watch a settings file."""
        context = harness.apps[0].context
        parse = SessionParser(context.settings)
        source = SettingsSource(path, parse)
        return SettingsWatch(context, source, context.apply_settings)

    def test_change_without_signal(
        self,
        harness: GatewayHarness,
        tmp_path: Path,
    ) -> None:
        """Apply a changed file."""
        path = tmp_path / 'settings'
        path.write_text('5')
        self.watch(harness, path)
        path.write_text('17.5')
        sessions = harness.apps[0].context.sessions
        harness.until(lambda: sessions.session_s == 17.5)
        assert 'cause=file-changed' in harness.log()

    def test_signal(self, harness: GatewayHarness, tmp_path: Path) -> None:
        """Reload the file on a signal, changed or not."""
        path = tmp_path / 'settings'
        path.write_text('5')
        self.watch(harness, path).reload('signal')
        assert 'cause=signal' in harness.log()

    def test_faults(self, harness: GatewayHarness, tmp_path: Path) -> None:
        """Keep the settings in force when the new ones are invalid."""
        path = tmp_path / 'settings'
        path.write_text('5')
        watch = self.watch(harness, path)
        before = harness.apps[0].context.settings
        for text in ('many', ''):
            path.write_text(text)
            watch.reload('signal')
        path.unlink()
        watch.reload('signal')
        assert harness.apps[0].context.settings is before
        assert harness.log().count('settings_refused') >= 3
