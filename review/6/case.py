"""Hosts that stop following the store after it was slow for some seconds."""

import signal
from collections.abc import Iterator

from bamboodeck.fakes.platform.documents import (
    KEY,
    MODELS,
    SHOP,
    build_configuration,
)
from bamboodeck.fakes.platform.engine import EngineBehaviour
from review.rig.case import is_troubled, run_case
from review.rig.store import USUAL_ANSWER_S
from review.rig.system import CALLER_S, CannotRunError, System

ZONE = 'gent'
REGIONS = {ZONE: 'flanders'}  # noqa: WPS407
HOSTS = 6
LEAVING = 'host-1'
# The sites' largest dose of a slow store: 60 times the usual time, for 4.5 s.
SLOW_FACTOR = 60
SLOW_S = 4.5
MANIFESTS = 3
GAP_S = 1.3
CONFIG_S = 2.5
DRAIN_S = 2.5
STABILITY_S = 4.0
GRACE_S = 8.0
OLD_KEY = 'key-2'
LATE_ROUTE = '/late/'
REQUESTS = 6
STEP_S = 0.045
# How long after the first check the hosts are asked again.
LATER_S = 15.0


def play(system: System) -> list[str]:
    """Return what clients and engines see of the broken rules."""
    _start(system)
    _change_manifest_while_slow(system)
    system.wait(STABILITY_S + 2)
    _remove_host(system)
    system.wait(STABILITY_S + 1)
    return [*_check_manifest(system), *_check_drain(system)]


def _start(system: System) -> None:
    system.write_manifest(_build_manifest(1, 0))
    for number in (1, 2):
        behaviour = EngineBehaviour(step_s=STEP_S)
        system.add_engine(f'shop-{number}', SHOP, ZONE, behaviour)
        system.add_engine(f'models-{number}', MODELS, ZONE)
    for number in range(HOSTS):
        system.add_gateway(f'host-{number + 1}', ZONE, REGIONS)
    system.until_ready()
    system.wait(STABILITY_S)


def _change_manifest_while_slow(system: System) -> None:
    if not is_troubled():
        system.wait(SLOW_S)
        return
    system.store.answer_s = SLOW_FACTOR * USUAL_ANSWER_S
    system.record.write('store', answer_s=system.store.answer_s)
    for number in range(MANIFESTS):
        system.wait(GAP_S)
        system.write_manifest(_build_manifest(number + 2, number + 1))
    system.wait(SLOW_S - MANIFESTS * GAP_S)
    system.store.answer_s = USUAL_ANSWER_S
    system.record.write('store', answer_s=system.store.answer_s)


def _remove_host(system: System) -> None:
    """Stop one host for good, as planned work does."""
    leaving = system.gateways.pop(LEAVING)
    leaving.send(signal.SIGTERM)
    system.record.write('sigterm', host=LEAVING)
    exited = system.until(
        lambda: leaving.process.poll() is not None,
        GRACE_S,
    )
    leaving.end()
    if not exited:
        raise CannotRunError('the host did not exit')
    system.record.write('exited', host=LEAVING)


def _check_manifest(system: System) -> list[str]:
    system.write_manifest(
        build_configuration(
            20,
            extra_routes=[*_list_routes(MANIFESTS), LATE_ROUTE],
        ),
    )
    system.wait(CONFIG_S + 1)
    violations = list(_ask_hosts(system, CONFIG_S + 1))
    system.wait(LATER_S)
    return [*violations, *_ask_hosts(system, CONFIG_S + 1 + LATER_S)]


def _ask_hosts(system: System, age_s: float) -> Iterator[str]:
    for host in system.gateways:
        ready = 'ready' if system.is_ready(host) else 'not ready'
        name = f'CONFIG: {host} ({ready})'
        status = system.ask(host, 'GET', f'{LATE_ROUTE}1').status
        if status == 404:
            yield f'{name} answers 404 on a route added {age_s} s before'
        status = system.ask(host, 'GET', '/look/1', key=OLD_KEY).status
        if status == 200:
            yield f'{name} serves a key withdrawn {age_s} s before'


def _check_drain(system: System) -> list[str]:
    system.list_engine('shop-2', SHOP, ZONE, state='draining', sequence=2)
    system.record.write('draining', engine='shop-2')
    system.wait(DRAIN_S + 1)
    leaving = system.engines['shop-2']
    before = len(leaving.runs)
    sent = [
        system.send(host, 'GET', f'/look/{number}')
        for host in system.gateways
        for number in range(REQUESTS)
    ]
    system.until(
        lambda: all(answer.outcome is not None for answer in sent),
        CALLER_S,
    )
    late = len(leaving.runs) - before
    if not late:
        return []
    return [
        f'DRAIN: {late} requests reached an engine that had reported '
        f'draining {DRAIN_S + 1} s before',
    ]


def _list_routes(number: int) -> list[str]:
    return [f'/extra-{each}/' for each in range(number)]


def _build_manifest(version: int, routes: int) -> bytes:
    return build_configuration(
        version,
        extra_routes=_list_routes(routes),
        tenants=[{'name': 'school', 'api_keys': [KEY, OLD_KEY]}],
    )


run_case(__file__, play)
