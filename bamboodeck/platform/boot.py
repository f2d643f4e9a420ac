"""Find in the settings what a process needs before the rest is loaded."""

import os

from bamboodeck.platform.words import (
    CALLERS_LISTEN_KEY,
    READY_LISTEN_KEY,
    SETTINGS_VARIABLE,
)

_LISTEN_KEYS = frozenset((CALLERS_LISTEN_KEY, READY_LISTEN_KEY))


def find_listen_addresses() -> tuple[tuple[str, int], ...]:
    """Return where the process will listen, as far as that can be read.

    Faults of the settings are reported when all of them are parsed.
    """
    try:
        with open(os.environ[SETTINGS_VARIABLE], encoding='utf-8') as settings:
            return parse_listen_addresses(settings.read())
    except (KeyError, OSError, UnicodeDecodeError):
        return ()


def parse_listen_addresses(text: str) -> tuple[tuple[str, int], ...]:
    """Return the listen addresses of a settings file that can be read."""
    addresses = []
    for line in text.splitlines():
        key, _, address = line.partition('=')
        if key.strip() not in _LISTEN_KEYS:
            continue
        host, _, port = address.strip().rpartition(':')
        if host and port.isdecimal():
            addresses.append((host, int(port)))
    return tuple(addresses)
