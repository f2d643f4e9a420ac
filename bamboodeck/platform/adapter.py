"""Connect the gateway to the platform: settings, formats and store."""

import os
from pathlib import Path

from bamboodeck.gateway.app import Platform
from bamboodeck.gateway.model import HostSettings
from bamboodeck.http.client import HttpClient
from bamboodeck.platform import exchanges, protocol
from bamboodeck.platform.host_settings import parse_host_settings
from bamboodeck.platform.registry import PlatformRegistry
from bamboodeck.platform.store import PlatformStore


def parse_settings(text: str) -> HostSettings:
    """Decode a settings file; raise `HostSettingsError` with all faults."""
    return parse_host_settings(
        text,
        os.environ.get(protocol.METRICS_PORT_VARIABLE),
    )


def find_settings_path() -> Path | None:
    """Return the settings path from the environment, if it is set."""
    named = os.environ.get(protocol.SETTINGS_VARIABLE)
    return Path(named) if named else None


def build_registry(
    client: HttpClient,
    settings: HostSettings,
) -> PlatformRegistry:
    """Build a registry backed by the platform's store."""
    return PlatformRegistry(PlatformStore(client, settings.store))


PLATFORM = Platform(exchanges, build_registry)
