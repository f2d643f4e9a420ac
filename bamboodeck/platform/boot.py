"""Read the settings that are needed before the rest is imported."""

import os

from bamboodeck.platform.protocol import (
    CALLERS_LISTEN_KEY,
    READY_LISTEN_KEY,
    SETTINGS_VARIABLE,
)

_LISTEN_KEYS = frozenset((CALLERS_LISTEN_KEY, READY_LISTEN_KEY))


def find_listen_addresses() -> tuple[tuple[str, int], ...]:
    """Return the listen addresses, or none if the file is unreadable.

    Faults are reported later, when the whole file is parsed.
    """
    try:
        with open(os.environ[SETTINGS_VARIABLE], encoding='utf-8') as settings:
            return parse_listen_addresses(settings.read())
    except (KeyError, OSError, UnicodeDecodeError):
        return ()


def parse_listen_addresses(text: str) -> tuple[tuple[str, int], ...]:
    """Return the well-formed listen addresses of a settings file."""
    addresses = []
    for line in text.splitlines():
        key, _, address = line.partition('=')
        if key.strip() not in _LISTEN_KEYS:
            continue
        host, _, port = address.strip().rpartition(':')
        if host and port.isdecimal():
            addresses.append((host, int(port)))
    return tuple(addresses)
