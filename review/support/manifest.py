"""Build manifests like that of a small deployment."""

from collections.abc import Iterable
from typing import Any

from review.support.caller import HOST, KEY

SHOP = 'webshop'
MODELS = 'assistant'
LOOK = '/stock-look/'
PAY = '/order-pay/'
CHAT = '/parent-chat/'

SAFE_ROUTE = {  # noqa: WPS407
    'name': 'stock-look',
    'host': HOST,
    'prefix': LOOK,
    'kind': 'safe',
    'timeout_ms': 2500,
    'target_latency_ms': 300,
    'priority': 2,
    'service': SHOP,
    'max_attempts': 2,
    'public': False,
}
UNSAFE_ROUTE = {  # noqa: WPS407
    **SAFE_ROUTE,
    'name': 'order-pay',
    'prefix': PAY,
    'kind': 'unsafe',
    'max_attempts': 1,
}
STREAM_ROUTE = {  # noqa: WPS407
    **SAFE_ROUTE,
    'name': 'parent-chat',
    'prefix': CHAT,
    'kind': 'streaming',
    'timeout_ms': 5000,
    'target_latency_ms': 1500,
    'gap_aim_ms': 800,
    'service': MODELS,
    'sizes': ['m0', 'm1', 'm2'],
    'max_attempts': 3,
    'sticky': True,
    'stream_resume': True,
}


def build_manifest(
    version: int,
    routes: Iterable[dict[str, Any]] = (),
    **changes: Any,
) -> dict[str, Any]:
    """Build a manifest with a route of each kind, and more."""
    models = [
        {'name': 'm0', 'cost': 0.018},
        {'name': 'm1', 'cost': 0.14},
        {'name': 'm2', 'cost': 0.27},
    ]
    engine = {'slots': 64, 'kv_capacity_tokens': 588_056, 'models': models}
    return {
        'version': version,
        'routes': [SAFE_ROUTE, UNSAFE_ROUTE, STREAM_ROUTE, *routes],
        'services': [
            {
                'name': MODELS,
                'health_path': '/healthz',
                'max_connections': 360,
                'engine': engine,
            },
            {
                'name': SHOP,
                'health_path': '/healthz',
                'max_connections': 96,
            },
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [
            {'name': 'hule930', 'api_keys': [KEY], 'priority': 1},
        ],
        **changes,
    }
