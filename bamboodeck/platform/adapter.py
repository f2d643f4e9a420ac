"""Offer the platform to the gateway: settings, formats and the store."""

import os
from pathlib import Path

from bamboodeck.gateway.app import Platform
from bamboodeck.gateway.model import HostSettings
from bamboodeck.http.client import HttpClient
from bamboodeck.platform import exchanges, words
from bamboodeck.platform.host_settings import parse_host_settings
from bamboodeck.platform.registry import PlatformRegistry
from bamboodeck.platform.store import PlatformStore


def parse_settings(text: str) -> HostSettings:
    """Decode a settings file; raise an error with all of its faults."""
    return parse_host_settings(
        text,
        os.environ.get(words.METRICS_PORT_VARIABLE),
    )


def find_settings_path() -> Path | None:
    """Return the settings file that the platform names, if it names one."""
    named = os.environ.get(words.SETTINGS_VARIABLE)
    return Path(named) if named else None


def build_registry(
    client: HttpClient,
    settings: HostSettings,
) -> PlatformRegistry:
    """Build the registry on the platform's store."""
    return PlatformRegistry(PlatformStore(client, settings.store))


PLATFORM = Platform(exchanges, build_registry)
