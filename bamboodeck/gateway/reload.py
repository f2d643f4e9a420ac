"""Read the settings file again when it has changed, also with no signal."""

from collections.abc import Callable
from pathlib import Path

import msgspec

from bamboodeck.errors import BamboodeckError
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.events import SettingsRefused, SettingsReloaded
from bamboodeck.gateway.model import HostSettings

# A look at the file costs microseconds; a change is in force a second later.
LOOK_PERIOD_S = 1.0


class SettingsSource(msgspec.Struct, frozen=True):
    """Name a settings file and how it is read."""

    path: Path
    parse: Callable[[str], HostSettings]

    def read(self) -> HostSettings:
        """Read the file; raise `OSError` or an error with all its faults."""
        return self.parse(self.path.read_text(encoding='utf-8'))

    def stamp(self) -> tuple[int, int]:
        """Return what changes with the file; raise `OSError`."""
        status = self.path.stat()
        return (status.st_mtime_ns, status.st_size)


class SettingsWatch:
    """Put changed settings in force; refuse those with faults."""

    def __init__(
        self,
        context: GatewayContext,
        source: SettingsSource,
        on_settings: Callable[[HostSettings], None],
    ) -> None:
        """Remember the file as it is now."""
        self._context = context
        self._source = source
        self._on_settings = on_settings
        self._stamp = self._look()
        context.loop.scheduler.call_every(LOOK_PERIOD_S, self._look_again)

    def reload(self, cause: str) -> None:
        """Read the file and put it in force if it has no faults."""
        self._stamp = self._look()
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

    def _look_again(self) -> None:
        stamp = self._look()
        if stamp != self._stamp:
            self.reload('file-changed')

    def _look(self) -> tuple[int, int] | None:
        try:
            return self._source.stamp()
        except OSError:
            # The platform may be replacing the file; the next look tells.
            return None
