"""Decode the settings file that the platform writes for a process."""

from collections.abc import Callable, Mapping

from bamboodeck.errors import InputError
from bamboodeck.gateway.model import Bounds, HostSettings
from bamboodeck.http.messages import Address, AddressError, parse_address
from bamboodeck.platform import protocol

MILLISECONDS_PER_S = 1000
_NO_ADDRESS = Address('0.0.0.0', 0)


class HostSettingsError(InputError):
    """Report all faults of a settings file, one per line."""


class _Reader:
    def __init__(self, fields: Mapping[str, str]) -> None:
        self.faults: list[str] = []
        self._fields = fields

    def text(self, key: str) -> str:
        found = self._fields.get(key, '')
        if not found:
            self.faults.append(f'{key}: a value is needed')
        return found

    def address(self, key: str) -> Address:
        return self._convert(key, parse_address, _NO_ADDRESS)

    def number(self, key: str, default: float) -> float:
        if not self._fields.get(key):
            return default
        return self._convert(key, float, default)

    def ports(self, key: str) -> tuple[int, int]:
        return self._convert(key, _parse_ports, (0, 0))

    def _convert(self, key: str, parse: Callable, default):
        text = self.text(key)
        if not text:
            return default
        try:
            return parse(text)
        except (ValueError, AddressError) as error:
            self.faults.append(f'{key}: {error}')
            return default


def parse_host_settings(
    text: str,
    metrics_port: str | None = None,
) -> HostSettings:
    """Decode a settings file; raise `HostSettingsError` with all faults.

    Unknown keys are ignored, since the platform may add keys.
    """
    fields = _parse_lines(text)
    if metrics_port:
        fields['metrics_port'] = metrics_port
    reader = _Reader(fields)
    address = reader.text('ip')
    first_port, last_port = reader.ports('internal_ports')
    settings = HostSettings(
        host=reader.text('node_name'),
        zone=reader.text('zone'),
        region=reader.text('region'),
        regions_by_zone={
            key.removeprefix('zones.'): region
            for key, region in fields.items()
            if key.startswith('zones.')
        },
        callers_listen=reader.address(protocol.CALLERS_LISTEN_KEY),
        ready_listen=reader.address(protocol.READY_LISTEN_KEY),
        peer_listen=Address(address, first_port),
        metrics_listen=Address(
            address,
            int(reader.number('metrics_port', last_port)),
        ),
        store=reader.address('platform.address'),
        max_descriptors=int(reader.number('limits.max_fds', 1024)),
        memory_mb=int(reader.number('limits.memory_mb', 256)),
        bounds=_read_bounds(reader),
        first_start=fields.get('bootstrap') == 'true',
        engine_memory_bound=protocol.PRESSURE_CONTRACT
        in fields.get('contracts', '').split(','),
    )
    if reader.faults:
        raise HostSettingsError('\n'.join(reader.faults))
    return settings


def _parse_lines(text: str) -> dict[str, str]:
    fields = {}
    for line in text.splitlines():
        key, equals, rest = line.partition('=')
        if equals and not line.startswith('#'):
            fields[key.strip()] = rest.strip()
    return fields


def _read_bounds(reader: _Reader) -> Bounds:
    default = Bounds()

    def seconds(key: str, default_s: float) -> float:
        number = reader.number(key, default_s * MILLISECONDS_PER_S)
        return number / MILLISECONDS_PER_S

    return Bounds(
        drain_s=seconds('bounds.drain_ms', default.drain_s),
        configuration_s=seconds(
            'bounds.config_ms',
            default.configuration_s,
        ),
        grace_s=reader.number('bounds.grace_s', default.grace_s),
        heartbeat_s=seconds('heartbeat_ms', default.heartbeat_s),
        stability_s=seconds('bounds.stability_window_ms', default.stability_s),
        repeat_ratio=reader.number('bounds.budget_ratio', default.repeat_ratio),
        repeat_window_s=reader.number(
            'bounds.budget_window_s',
            default.repeat_window_s,
        ),
        repeat_slack=reader.number('bounds.budget_slack', default.repeat_slack),
        exposure_share=reader.number(
            'bounds.expose_share',
            default.exposure_share,
        ),
        exposure_slack=reader.number(
            'bounds.expose_slack',
            default.exposure_slack,
        ),
        rollback_s=seconds('bounds.rollback_ms', default.rollback_s),
        reuse_window_s=reader.number(
            'bounds.reuse_window_s',
            default.reuse_window_s,
        ),
        session_s=reader.number('bounds.session_s', default.session_s),
        cold_over=reader.number('bounds.cold_over', default.cold_over),
        cold_slack=reader.number('bounds.cold_slack', default.cold_slack),
        evacuate_s=seconds('bounds.evacuate_ms', default.evacuate_s),
    )


def _parse_ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(',')
    ports = (int(first), int(last or first))
    if not 0 < ports[0] < ports[1]:
        raise ValueError(f'"{text}" is not a range of at least two ports')
    return ports
