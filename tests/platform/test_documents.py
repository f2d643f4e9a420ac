"""Test the decoding of documents from the store."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.fakes.platform.documents import (
    CUSTOMER,
    KEY,
    build_configuration,
)
from bamboodeck.gateway.model import (
    EngineState,
    RolloutState,
    RolloutStatus,
    RouteKind,
    WeightedService,
)
from bamboodeck.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_engine,
    decode_rollout,
    decode_status,
    encode_status,
)

ENGINE = {
    'service': 'models',
    'address': '10.0.0.9:8080',
    'zone': 'gent-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_remaining_ms': 1500,
    'sequence': 4,
    'born': 1770896753170,
    'unheard-of': [],
}


class TestConfiguration:
    """Decode the operators' configuration."""

    def test_routes(self) -> None:
        """Convert kinds, times and services to the gateway's types."""
        configuration = decode_configuration(build_configuration(7))
        chat, pay, look = configuration.routes
        assert configuration.version == 7
        assert (chat.kind, chat.retryable) == (RouteKind.STREAM, True)
        assert (pay.kind, pay.retryable) == (RouteKind.UNSAFE, False)
        assert look.services == (WeightedService('shop', 1.0),)
        assert (pay.timeout_s, pay.target_latency_s) == (1.2, 0.25)
        assert chat.max_gap_s == 0.8
        assert configuration.limits.idle_timeout_s == 15.0

    def test_customers(self) -> None:
        """Map API keys to customers."""
        configuration = decode_configuration(build_configuration())
        assert configuration.customers_by_key[KEY].name == CUSTOMER

    def test_no_customers(self) -> None:
        """Distinguish an absent list of customers from an empty one."""
        without = msgspec.json.decode(build_configuration())
        without.pop('tenants')
        content = msgspec.json.encode(without)
        assert decode_configuration(content).customers_by_key is None
        empty = decode_configuration(build_configuration(1, tenants=[]))
        assert empty.customers_by_key == {}

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'[]',
            b'{"version": 1}',
            b'\xff',
            b'{"version":"x","routes":[]}',
        ],
    )
    def test_malformed(self, content: bytes) -> None:
        """Reject malformed configurations."""
        with pytest.raises(DocumentError):
            decode_configuration(content)


class TestEngines:
    """Decode the entries that engines publish."""

    def test_entry(self) -> None:
        """Keep the start time and convert units."""
        entry = decode_engine('i-1', msgspec.json.encode(ENGINE))
        assert entry.engine_id == 'i-1'
        assert entry.started_unix_ms == 1770896753170
        assert entry.cold_s == 1.5
        assert entry.state is EngineState.READY

    @pytest.mark.parametrize(
        'change',
        [
            {'state': 'resting'},
            {'address': 'somewhere'},
            {'slots': 'many'},
            {'service': None},
            {'born': 1.5},
        ],
    )
    def test_malformed(self, change: dict) -> None:
        """Reject entries with malformed fields."""
        content = msgspec.json.encode({**ENGINE, **change})
        with pytest.raises(DocumentError):
            decode_engine('i-1', content)

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=60))
    def test_any_bytes(self, content: bytes) -> None:
        """Raise `DocumentError` for any random bytes."""
        with pytest.raises(DocumentError):
            decode_engine('i-1', content)


class TestRollouts:
    """Decode orders; encode and decode statuses."""

    def test_order(self) -> None:
        """Decode the target version and the duration."""
        order = decode_rollout(
            b'{"service":"models","target":"v2","duration_s":12}',
        )
        assert (order.version, order.duration_s) == ('v2', 12.0)

    @pytest.mark.parametrize('state', list(RolloutState))
    def test_status(self, state: RolloutState) -> None:
        """Decode an encoded status unchanged."""
        status = RolloutStatus('v2', state)
        assert decode_status(encode_status(status)) == status

    def test_unknown_state(self) -> None:
        """Reject an unknown state."""
        with pytest.raises(DocumentError):
            decode_status(b'{"target":"v2","state":"odd"}')
