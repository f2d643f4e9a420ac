"""Build configurations and messages of the sizes that are measured."""

import random
from functools import lru_cache

from bamboodeck.billing.messages import BillRecord, build_bill_id
from bamboodeck.bench.slopes.messages import SlopesError
from bamboodeck.configuration.model import (
    Configuration,
    Customer,
    Engine,
    Model,
    Operator,
    Preset,
    Provider,
    RequestClass,
    Role,
    SigningKey,
    VersionState,
)
from bamboodeck.configuration.records import StoredConfiguration, encode_record
from bamboodeck.configuration.rendering import render_configuration
from bamboodeck.configuration.replica import Accepted, ConfigurationReplica
from bamboodeck.invariants import Invariants
from bamboodeck.routing.messages import RouteRequest

REVISION = 1_234_567
CHANGE_ID = '0194f2c8a1b27d3e8f90123456789abc'
ENGINES_A_ZONE = 480
ZONES = 25
ZONES_A_REGION = 3
VERSIONS = tuple(f'family-{number}@2031-05' for number in range(7))
VERSIONS_AN_ENGINE = 2
CUSTOMERS = 10
OWN_ZONE = 'zone-00'
OWN_REGION = 'region-0'
CAPACITY_STREAMS = 48
DAY_S = 86_400.0
_HOSTS_A_NET = 250
CHAT = RequestClass('chat', 1.0, 20.0, 400, 150)
_PRESET = Preset(
    name='ordinary',
    confidence=0.9,
    cascade=True,
    delay_credits_per_s=0.002,
    region_credits_per_mb=0.02,
    max_load=0.85,
    retry_ratio=0.1,
    max_attempts=3,
    explore_share=0.02,
    accept_rollouts=True,
)
_DIGEST = '747ee628747e3057d285c97c6e573690294dd9a23bcf96cdfc00dcb57720b40b'


def build_customer(number: int) -> Customer:
    """Build a customer that may use all versions."""
    return Customer(
        f'customer-{number:03d}',
        (f'{number:03d}{_DIGEST[3:]}',),
        VERSIONS,
        0.85,
        1.0,
        100_000,
        100_000_000,
    )


def build_engine(number: int, address: str = '') -> Engine:
    """Build an engine; a zone's worth of numbers stands in the same zone."""
    zone = number // ENGINES_A_ZONE
    first = number % len(VERSIONS)
    chosen = {
        VERSIONS[(first + step) % len(VERSIONS)]
        for step in range(VERSIONS_AN_ENGINE)
    }
    return Engine(
        f'zone-{zone:02d}-engine-{number:05d}',
        address or _build_address(number),
        f'region-{zone // ZONES_A_REGION}',
        f'zone-{zone:02d}',
        tuple(sorted(chosen)),
        CAPACITY_STREAMS,
    )


@lru_cache(maxsize=32)
def build_configuration(
    engines: int,
    customers: int = CUSTOMERS,
    address: str = '',
) -> Configuration:
    """Build a configuration of a number of engines and customers."""
    return Configuration(
        revision=REVISION,
        change_id=CHANGE_ID,
        changed_by='ada',
        preset_in_force='ordinary',
        presets=(_PRESET,),
        customers=tuple(map(build_customer, range(customers))),
        models=tuple(
            _build_model(name, rank) for rank, name in enumerate(VERSIONS)
        ),
        classes=(CHAT,),
        engines=tuple(
            build_engine(number, address) for number in range(engines)
        ),
        services=(),
        providers=(Provider('northlight', 250_000, 1_900_000_000.0),),
        signing_keys=(SigningKey('2031-05', _DIGEST),),
        operators=(Operator('ada', Role.ADMINISTRATOR, _DIGEST),),
        session_ttl_s=DAY_S,
        order_key_ttl_s=DAY_S,
        stale_after_s=30,
    )


@lru_cache(maxsize=32)
def build_body(engines: int, customers: int = CUSTOMERS) -> bytes:
    """Write a configuration as it stands in the key-value service."""
    text = render_configuration(build_configuration(engines, customers))
    return encode_record(
        StoredConfiguration(CHANGE_ID, 'ada', 1.9e9, 'set the preset', text),
    )


def build_replica(body: bytes) -> ConfigurationReplica:
    """Build a replica that has put a body in force."""
    replica = ConfigurationReplica(Invariants(None, raising=True), 0)
    put_in_force(replica, body)
    return replica


def put_in_force(replica: ConfigurationReplica, body: bytes) -> None:
    """Offer a body; raise `SlopesError` if it isn't accepted."""
    outcome = replica.offer(REVISION, body, 'watch')
    if not isinstance(outcome, Accepted):
        raise SlopesError(f'the sample is not accepted: {outcome}')


def build_route_request(number: int, customer: Customer) -> RouteRequest:
    """Ask where a streamed chat request should run."""
    return RouteRequest(
        request_id=f'{number:032x}',
        customer=customer,
        request_class=CHAT,
        session_version=None,
        requested_model=None,
        prompt_tokens=400,
        prefix_hash=number % 100,
        stream=True,
        deadline_s=CHAT.deadline_s,
    )


def build_bill(number: int, rng: random.Random) -> BillRecord:
    """Build a bill of a usual size."""
    request_id = f'{rng.getrandbits(128):032x}'
    return BillRecord(
        build_bill_id('customer-007', request_id),
        'customer-007',
        request_id,
        VERSIONS[number % len(VERSIONS)],
        CHAT.name,
        400 + number % 100,
        150 + number % 100,
        0.0123,
        OWN_ZONE,
        1_900_000_000.0 + number,
    )


def _build_address(number: int) -> str:
    high, low = divmod(number, _HOSTS_A_NET)
    return f'10.20.{high}.{low}:8000'


def _build_model(name: str, rank: int) -> Model:
    return Model(
        name=name,
        state=VersionState.STEADY,
        provider='northlight',
        input_credits_per_mtoken=0.5 * (rank + 1),
        output_credits_per_mtoken=2.0 * (rank + 1),
        expected_quality=0.7 + 0.04 * rank,
        tokens_per_s=140 - 15 * rank,
        first_token_s=0.1 + 0.05 * rank,
    )
