"""Reload the settings file on a signal or when it has changed."""

from collections.abc import Callable
from pathlib import Path

import msgspec

from bamboodeck.errors import BamboodeckError
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.events import SettingsRefused, SettingsReloaded
from bamboodeck.gateway.model import HostSettings

# A check costs microseconds, and a change is in force within a second.
CHECK_PERIOD_S = 1.0


class SettingsSource(msgspec.Struct, frozen=True):
    """Read and parse a settings file."""

    path: Path
    parse: Callable[[str], HostSettings]

    def read(self) -> HostSettings:
        """Parse the file; raise `OSError` or an error that lists all faults."""
        return self.parse(self.path.read_text(encoding='utf-8'))

    def stamp(self) -> tuple[int, int]:
        """Return the file's modification time and size; raise `OSError`."""
        status = self.path.stat()
        return (status.st_mtime_ns, status.st_size)


class SettingsWatch:
    """Apply changed settings; reject invalid ones."""

    def __init__(
        self,
        context: GatewayContext,
        source: SettingsSource,
        on_settings: Callable[[HostSettings], None],
    ) -> None:
        """Start watching the file as it is now."""
        self._context = context
        self._source = source
        self._on_settings = on_settings
        self._stamp = self._read_stamp()
        context.loop.scheduler.call_every(
            CHECK_PERIOD_S,
            self._reload_if_changed,
        )

    def reload(self, cause: str) -> None:
        """Read the file and apply it if it is valid."""
        self._stamp = self._read_stamp()
        try:
            settings = self._source.read()
        except (OSError, UnicodeDecodeError, BamboodeckError) as error:
            self._context.metrics.count('settings_refused')
            self._context.log.warn(SettingsRefused(str(error)))
            return
        changed = settings != self._context.settings
        self._context.log.emit(SettingsReloaded(cause, changed))
        if changed:
            self._on_settings(settings)

    def _reload_if_changed(self) -> None:
        stamp = self._read_stamp()
        if stamp != self._stamp:
            self.reload('file-changed')

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            return self._source.stamp()
        except OSError:
            # The platform may be replacing the file; checked again later.
            return None
