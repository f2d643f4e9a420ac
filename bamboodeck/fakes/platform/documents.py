"""Build the configuration and the settings files of gateways."""

from collections.abc import Iterable, Mapping

import msgspec

from bamboodeck.http.messages import Address
from bamboodeck.platform import protocol

HOST = 'desk.example'
KEY = 'key-1'
CUSTOMER = 'school'
CHAT = '/chat/'
PAY = '/pay/'
LOOK = '/look/'
SMALL = 'small'
LARGE = 'large'
MODELS = 'models'
SHOP = 'shop'


def build_configuration(
    version: int = 1,
    *,
    extra_routes: Iterable[str] = (),
    cold: tuple[float, float] = (0.0, 0.0),
    **changes: object,
) -> bytes:
    """Build a configuration with a route of each kind, as JSON.

    `extra_routes` are the prefixes of additional safe routes, `cold` the rate
    and the time in seconds of cold engines.
    """
    shared = {'host': HOST, 'public': False, 'priority': 1}
    look = {
        **shared,
        'kind': 'safe',
        'timeout_ms': 1200,
        'target_latency_ms': 250,
        'max_attempts': 2,
        'backends': [{'service': SHOP, 'weight': 1}],
    }
    routes = [
        {
            **shared,
            'name': 'chat',
            'prefix': CHAT,
            'kind': 'streaming',
            'timeout_ms': 8000,
            'target_latency_ms': 2000,
            'gap_aim_ms': 800,
            'max_attempts': 3,
            'stream_resume': True,
            'sticky': True,
            'sizes': [SMALL, LARGE],
            'service': MODELS,
        },
        {
            **shared,
            'name': 'pay',
            'prefix': PAY,
            'kind': 'unsafe',
            'timeout_ms': 1200,
            'target_latency_ms': 250,
            'max_attempts': 1,
            'service': SHOP,
        },
        {**look, 'name': 'look', 'prefix': LOOK},
        *(
            {**look, 'name': f'extra {prefix}', 'prefix': prefix}
            for prefix in extra_routes
        ),
    ]
    cold_fields = {'cold_per_s': cold[0], 'cold_start_s': cold[1]}
    document = {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': MODELS,
                'max_connections': 64,
                **cold_fields,
                'engine': {
                    'slots': 8,
                    'kv_capacity_tokens': 100_000,
                    'models': [
                        {'name': SMALL, 'cost': 0.02},
                        {'name': LARGE, 'cost': 0.3},
                    ],
                },
            },
            {'name': SHOP, 'max_connections': 64, **cold_fields},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 1_000_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [{'name': CUSTOMER, 'api_keys': [KEY], 'priority': 1}],
        **changes,
    }
    return msgspec.json.encode(document)


class GatewayAddresses(msgspec.Struct, frozen=True):
    """Define the listen addresses of a gateway; `last_port` is for metrics."""

    callers: Address
    ready: Address
    first_port: int
    last_port: int


def build_settings(
    host: str,
    zone: str,
    region_by_zone: Mapping[str, str],
    addresses: GatewayAddresses,
    store: Address,
    bounds: Mapping[str, float],
) -> str:
    """Build the settings file of a gateway, with `bounds` by name."""
    fields = {
        'node_name': host,
        'zone': zone,
        'region': region_by_zone[zone],
        **{f'zones.{name}': at for name, at in region_by_zone.items()},
        'ip': addresses.callers.host,
        protocol.CALLERS_LISTEN_KEY: addresses.callers,
        protocol.READY_LISTEN_KEY: addresses.ready,
        'internal_ports': f'{addresses.first_port},{addresses.last_port}',
        'limits.max_fds': 1024,
        'limits.memory_mb': 300,
        **{f'bounds.{name}': bound for name, bound in bounds.items()},
        'platform.address': store,
    }
    return ''.join(f'{key}={field}\n' for key, field in fields.items())
