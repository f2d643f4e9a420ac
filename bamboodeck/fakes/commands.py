"""Command line with a command for each stand-in."""

import logging
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from bamboodeck.environment import Environment
from bamboodeck.exit_status import ExitStatus
from bamboodeck.fakes.balancer import Balancer
from bamboodeck.fakes.engine.messages import EngineSettings
from bamboodeck.fakes.engine.server import ModelEngine
from bamboodeck.fakes.host_list import (
    HostFileError,
    HostList,
    read_host_file,
)
from bamboodeck.fakes.key_value.server import (
    KeyValueService,
    KeyValueSettings,
)
from bamboodeck.fakes.links import Links, Route
from bamboodeck.fakes.option_types import ADDRESS, QUALITY, ROUTE
from bamboodeck.fakes.orders import OrderService, OrderSettings
from bamboodeck.fakes.platform.engine import (
    EngineBehaviour,
    PlatformEngineFake,
)
from bamboodeck.fakes.platform.registration import Registration
from bamboodeck.fakes.platform.store import PlatformStoreFake
from bamboodeck.fakes.rating import (
    Quality,
    RatingService,
    RatingSettings,
)
from bamboodeck.fakes.stand_in import MS_PER_S
from bamboodeck.fakes.weights import WeightSettings, WeightStore
from bamboodeck.http.messages import Address
from bamboodeck.logs import EventLog, build_event_log
from bamboodeck.loop.program import Loop, ignore_broken_pipes
from bamboodeck.platform import protocol

Command = Callable[..., Any]
Decorator = Callable[[Command], Command]

BYTES_PER_MB = 1_000_000
LISTEN = click.option('--listen', type=ADDRESS, required=True)

ENGINE_OPTIONS = (
    click.option('--name', required=True),
    click.option('--versions', required=True, help='Separated by commas.'),
    click.option('--first-token-ms', type=click.FloatRange(0), default=50),
    click.option('--token-ms', type=click.FloatRange(0), default=20),
    click.option('--capacity', type=click.IntRange(1), default=64),
    click.option('--queue', type=click.IntRange(0), default=128),
    click.option('--answer-tokens', type=click.IntRange(1), default=64),
    click.option('--load-lag-ms', type=click.FloatRange(0), default=500),
    click.option('--load-version-ms', type=click.FloatRange(0), default=500),
    click.option('--cache-prefixes', type=click.IntRange(0), default=1000),
    click.option('--cache-lag-ms', type=click.FloatRange(0), default=500),
    click.option('--cache-gaps', type=click.FloatRange(0, 1), default=0.05),
    click.option('--ignore-fencing', is_flag=True),
    click.option('--fast', is_flag=True, help='Generate without delays.'),
    click.option('--seed', type=int, default=0),
)


def with_options(options: tuple[Decorator, ...]) -> Decorator:
    """Return a decorator that adds options in the order given."""

    def decorate(command: Command) -> Command:  # noqa: WPS430
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


def run(build: Callable[[Loop, EventLog], Callable[[], None]]) -> None:
    """Run a stand-in until a signal; `build` returns its stop function."""
    environment = Environment()
    ignore_broken_pipes()
    log = build_event_log(environment.stderr, level=logging.INFO)
    loop = Loop(environment)
    try:
        stop = build(loop, log)
    except OSError as error:
        click.echo(f'bamboodeck-fakes: {error}', err=True)
        sys.exit(ExitStatus.UNAVAILABLE)
    loop.set_stop_handler(stop)
    loop.run()
    sys.exit(ExitStatus.SUCCESS)


def split_names(text: str) -> tuple[str, ...]:
    """Split names at commas."""
    return tuple(name.strip() for name in text.split(',') if name.strip())


@click.group()
def group() -> None:
    """Run one stand-in of an outside system, with failures on demand."""


@group.command()
@LISTEN
@with_options(ENGINE_OPTIONS)
def engine(listen: Address, name: str, versions: str, **options: Any) -> None:
    """Run a model engine."""
    fast = options['fast']
    settings = EngineSettings(
        name=name,
        versions=split_names(versions),
        first_token_s=0 if fast else options['first_token_ms'] / MS_PER_S,
        token_s=0 if fast else options['token_ms'] / MS_PER_S,
        capacity=options['capacity'],
        queue_limit=options['queue'],
        answer_tokens=options['answer_tokens'],
        load_lag_s=options['load_lag_ms'] / MS_PER_S,
        load_version_s=options['load_version_ms'] / MS_PER_S,
        cache_prefixes=options['cache_prefixes'],
        cache_lag_s=options['cache_lag_ms'] / MS_PER_S,
        cache_gap_ratio=options['cache_gaps'],
        checks_fencing=not options['ignore_fencing'],
        seed=options['seed'],
    )
    run(
        lambda loop, log: (
            ModelEngine(loop, listen, settings, log).stand_in.stop
        ),
    )


@group.command('key-value')
@LISTEN
@click.option('--writes-per-s', type=click.FloatRange(1), default=400)
@click.option('--reads-per-s', type=click.FloatRange(1), default=2000)
@click.option('--seed', type=int, default=0)
def key_value(
    listen: Address,
    writes_per_s: float,
    reads_per_s: float,
    seed: int,
) -> None:
    """Run a key-value service."""
    settings = KeyValueSettings(writes_per_s, reads_per_s, seed=seed)
    run(lambda loop, log: KeyValueService(loop, listen, settings, log).stop)


@group.command()
@LISTEN
@click.option('--delay-ms', type=click.FloatRange(0), default=10)
@click.option('--journal', type=click.Path(path_type=Path, dir_okay=False))
def orders(listen: Address, delay_ms: float, journal: Path | None) -> None:
    """Run an order service that runs every call it gets."""
    settings = OrderSettings(delay_ms / MS_PER_S, journal)
    run(
        lambda loop, log: (
            OrderService(loop, listen, settings, log).stand_in.stop
        ),
    )


@group.command()
@LISTEN
@click.option('--noise', type=click.FloatRange(0, 1), default=0.1)
@click.option('--default-score', type=click.FloatRange(0, 1), default=0.8)
@click.option(
    '--quality',
    'qualities',
    type=QUALITY,
    multiple=True,
    help='Mean score of a version, for one class or all.',
)
def rating(
    listen: Address,
    noise: float,
    default_score: float,
    qualities: tuple[Quality, ...],
) -> None:
    """Run a rating service."""
    settings = RatingSettings(qualities, default_score, noise)
    run(
        lambda loop, log: (
            RatingService(loop, listen, settings, log).stand_in.stop
        ),
    )


@group.command('host-list')
@LISTEN
@click.option(
    '--hosts',
    'path',
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
)
@click.option('--lag-ms', type=click.FloatRange(0), default=1000)
def host_list(listen: Address, path: Path, lag_ms: float) -> None:
    """Run a host list."""
    try:
        hosts = read_host_file(path)
    except HostFileError as error:
        click.echo(f'bamboodeck-fakes: {error}', err=True)
        sys.exit(ExitStatus.BAD_INPUT)
    lag_s = lag_ms / MS_PER_S
    run(
        lambda loop, log: (
            HostList(loop, listen, hosts, lag_s, log).stand_in.stop
        ),
    )


@group.command()
@LISTEN
@click.option('--size-mb', type=click.FloatRange(0), default=100)
@click.option(
    '--rate-mb-per-s',
    type=click.FloatRange(0, min_open=True),
    default=100,
)
@click.option('--max-fetches', type=click.IntRange(1), default=2)
def weights(
    listen: Address,
    size_mb: float,
    rate_mb_per_s: float,
    max_fetches: int,
) -> None:
    """Run a weight store."""
    settings = WeightSettings(
        int(size_mb * BYTES_PER_MB),
        rate_mb_per_s * BYTES_PER_MB,
        max_fetches,
    )
    run(
        lambda loop, log: (
            WeightStore(loop, listen, settings, log).stand_in.stop
        ),
    )


@group.command()
@LISTEN
@click.option(
    '--control',
    type=ADDRESS,
    required=True,
    help='Where fault orders are taken.',
)
@click.option(
    '--target',
    'targets',
    type=ADDRESS,
    multiple=True,
    required=True,
)
def balancer(
    listen: Address,
    control: Address,
    targets: tuple[Address, ...],
) -> None:
    """Run a balancer in front of entry hosts."""
    run(lambda loop, log: Balancer(loop, listen, control, targets, log).stop)


@group.command()
@click.option(
    '--control',
    type=ADDRESS,
    required=True,
    help='Where orders are taken.',
)
@click.option('--route', 'routes', type=ROUTE, multiple=True, required=True)
def links(control: Address, routes: tuple[Route, ...]) -> None:
    """Run network links that can be cut, held and delayed."""
    run(lambda loop, log: Links(loop, control, routes, log).stop)


@group.command('platform-store')
@LISTEN
@click.option(
    '--configuration',
    type=click.Path(path_type=Path, dir_okay=False, exists=True),
    required=True,
    help='What lies in the store as the operators wrote it.',
)
def platform_store(listen: Address, configuration: Path) -> None:
    """Run the store of the users' platform."""

    def build(loop: Loop, log: EventLog) -> Callable[[], None]:
        store = PlatformStoreFake(loop, listen)
        store.put(protocol.CONFIGURATION_KEY, configuration.read_bytes())
        return loop.finish

    run(build)


@group.command('platform-engine')
@LISTEN
@click.option('--store', type=ADDRESS, required=True)
@click.option('--id', 'engine_id', required=True)
@click.option('--service', required=True)
@click.option('--zone', required=True)
@click.option('--step-ms', type=click.FloatRange(0), default=20)
@click.option('--events', type=click.IntRange(1), default=5)
def platform_engine(
    listen: Address,
    store: Address,
    engine_id: str,
    service: str,
    zone: str,
    step_ms: float,
    events: int,
) -> None:
    """Run an engine of the users' platform."""
    behaviour = EngineBehaviour(step_ms / MS_PER_S, events)

    def build(loop: Loop, log: EventLog) -> Callable[[], None]:
        engine = PlatformEngineFake(loop, listen, engine_id, behaviour)
        return Registration(loop, store, engine, service, zone).leave

    run(build)
