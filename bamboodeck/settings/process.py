"""Define and parse the settings of the entry and controller processes."""

import enum
import logging
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bamboodeck.errors import InputError
from bamboodeck.http.messages import Address, parse_address
from bamboodeck.settings.faults import Fault, SettingsError
from bamboodeck.settings.limits import FloatRange, IntRange
from bamboodeck.settings.reader import SettingsReader

_SECONDS = FloatRange(0.1, 3600.0)
_CONNECTIONS = IntRange(1, 100_000)
_HEAD_BYTES = IntRange(1024, 1_048_576)
_BODY_BYTES = IntRange(1024, 16_777_216)
_LEASE_TTL_S = IntRange(1, 600)
_PEER_FIELD_COUNT = 3

DEFAULT_DRAIN_TIMEOUT_S = 30.0
DEFAULT_READ_TIMEOUT_S = 10.0
DEFAULT_MAX_CONNECTIONS = 1024
DEFAULT_MAX_HEAD_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 1_048_576
DEFAULT_LEASE_TTL_S = 6


@enum.unique
class PeerRole(enum.Enum):
    """Name the programs that a peer can run."""

    ENTRY = 'entry'
    CONTROLLER = 'controller'


@enum.unique
class LogLevel(enum.Enum):
    """Name the minimum levels for logging."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'

    @property
    def number(self) -> int:
        """Return the level of the `logging` module."""
        return logging.getLevelNamesMapping()[self.name]


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Describe where a peer process listens for other peers."""

    node: str
    zone: str
    address: Address
    role: PeerRole


@dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Define the settings that all processes have."""

    node: str
    region: str
    zone: str
    peer_listen: Address
    key_value: tuple[Address, ...]
    rating: Address | None
    host_list: Address | None
    peer_secret_hex: str
    log_json: bool
    log_level: int


@dataclass(frozen=True, kw_only=True)
class EntrySettings(ProcessSettings):
    """Define the settings of an entry process.

    `bootstrap_key_sha256` admits an administrator while the node has no
    configuration; if it is empty, nobody is admitted then.
    """

    listen: Address
    admin_listen: Address
    zone_peers: tuple[PeerAddress, ...]
    bootstrap_key_sha256: str
    drain_timeout_s: float
    read_timeout_s: float
    max_connections: int
    max_head_bytes: int
    max_body_bytes: int


@dataclass(frozen=True, kw_only=True)
class ControllerSettings(ProcessSettings):
    """Define the settings of a controller process."""

    listen: Address
    peers: tuple[PeerAddress, ...]
    weight_store: Address | None
    lease_ttl_s: int
    drain_timeout_s: float


def parse_entry_settings(text: str, source: str) -> EntrySettings:
    """Parse an entry process's settings; raise `SettingsError`."""
    reader = SettingsReader(text, source)
    listen = reader.section('listen')
    limits = reader.section('limits', required=False)
    process = reader.section('process')
    settings = EntrySettings(
        listen=listen.address('callers'),
        admin_listen=listen.address('admin'),
        zone_peers=_read_peers(reader),
        bootstrap_key_sha256=process.sha256_hex('bootstrap_key_sha256', ''),
        drain_timeout_s=limits.number(
            'drain_timeout_s',
            _SECONDS,
            DEFAULT_DRAIN_TIMEOUT_S,
        ),
        read_timeout_s=limits.number(
            'read_timeout_s',
            _SECONDS,
            DEFAULT_READ_TIMEOUT_S,
        ),
        max_connections=limits.integer(
            'max_connections',
            _CONNECTIONS,
            DEFAULT_MAX_CONNECTIONS,
        ),
        max_head_bytes=limits.integer(
            'max_head_bytes',
            _HEAD_BYTES,
            DEFAULT_MAX_HEAD_BYTES,
        ),
        max_body_bytes=limits.integer(
            'max_body_bytes',
            _BODY_BYTES,
            DEFAULT_MAX_BODY_BYTES,
        ),
        **_read_process(reader),
    )
    _check_listen_addresses(reader)
    reader.finish()
    return settings


def parse_controller_settings(text: str, source: str) -> ControllerSettings:
    """Parse a controller process's settings; raise `SettingsError`."""
    reader = SettingsReader(text, source)
    limits = reader.section('limits', required=False)
    settings = ControllerSettings(
        listen=reader.section('listen').address('health'),
        peers=_read_peers(reader),
        weight_store=reader.section('platform').optional_address(
            'weight_store',
        ),
        lease_ttl_s=limits.integer(
            'lease_ttl_s',
            _LEASE_TTL_S,
            DEFAULT_LEASE_TTL_S,
        ),
        drain_timeout_s=limits.number(
            'drain_timeout_s',
            _SECONDS,
            DEFAULT_DRAIN_TIMEOUT_S,
        ),
        **_read_process(reader),
    )
    _check_listen_addresses(reader)
    reader.finish()
    return settings


def load_settings_file(path: Path | str) -> str:
    """Return the text of a settings file; raise `SettingsError`."""
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        message = f'cannot read the file: {error}'
        raise SettingsError((Fault(str(path), '', '', message),)) from None


def _read_process(reader: SettingsReader) -> dict[str, Any]:
    process = reader.section('process')
    platform = reader.section('platform')
    logs = reader.section('logs', required=False)
    return {
        'node': process.text('node'),
        'region': process.text('region'),
        'zone': process.text('zone'),
        'peer_secret_hex': process.secret_hex('peer_secret_hex'),
        'peer_listen': reader.section('listen').address('peers'),
        'key_value': platform.addresses('key_value'),
        'rating': platform.optional_address('rating'),
        'host_list': platform.optional_address('host_list'),
        'log_json': logs.boolean('json', default=False),
        'log_level': logs.choice('level', LogLevel, LogLevel.INFO).number,
    }


def _read_peers(reader: SettingsReader) -> tuple[PeerAddress, ...]:
    section = reader.section('peers', required=False)
    own_node = reader.section('process').text('node')
    peers: list[PeerAddress] = []
    for node in section.keys():
        text = section.text(node)
        if node == own_node:
            continue
        try:
            peers.append(_parse_peer(node, text))
        except InputError as error:
            section.add_fault(node, str(error))
    return tuple(peers)


def _parse_peer(node: str, text: str) -> PeerAddress:
    fields = text.split()
    roles = [role.value for role in PeerRole]
    if len(fields) != _PEER_FIELD_COUNT or fields[2] not in roles:
        raise InputError(
            f'"{text}" is not of the form ZONE IP:PORT ROLE, '
            f'where ROLE is one of: {", ".join(roles)}',
        )
    return PeerAddress(
        node, fields[0], parse_address(fields[1]), PeerRole(fields[2])
    )


def _check_listen_addresses(reader: SettingsReader) -> None:
    section = reader.section('listen')
    seen: dict[str, str] = {}
    for key in section.keys():
        text = section.text(key)
        first = seen.setdefault(text, key)
        if first != key:
            section.add_fault(key, f'{text} is also in key "{first}"')
