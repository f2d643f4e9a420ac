"""Payments that are said not to have run, though an engine ran them."""

import math
from http import HTTPStatus

from bamboodeck.fakes.platform.documents import (
    MODELS,
    SHOP,
    build_configuration,
)
from bamboodeck.fakes.platform.engine import (
    EngineBehaviour,
    EngineFault,
    EngineRun,
    PlatformEngineFake,
)
from bamboodeck.http.messages import Header
from bamboodeck.http.relay_server import RelayExchange
from review.rig.case import is_troubled, run_case
from review.rig.system import Answer, System

ZONE = 'gent'
# One engine of the shop a zone, as in the sheet.
OTHER_ZONES = ('namur', 'brux')
REGIONS = {  # noqa: WPS407
    ZONE: 'flanders',
    'namur': 'wallonia',
    'brux': 'brussels',
}
HOST = 'host-1'
SLOTS = 6
STEP_S = 0.045
# As in the site file: share 0.14 of the engines, at least one, fail 0.45 of
# their requests for 6.5 s.
FAILED_SHARE = 0.45
GREY_S = 6.5
# The sheet has 17.3 payments a second.
PAUSE_S = 0.06
RETRY_S = 0.3
ENDED_S = 3.0
PROMISES = frozenset((408, 421, 429, 503))


class GreyEngine(PlatformEngineFake):
    """Run all requests, and answer some with a failure of its own."""

    def _answer(
        self,
        run: EngineRun,
        responder: RelayExchange,
        head: list[Header],
        fault: EngineFault | None,
    ) -> None:
        fails = math.modf(len(self.runs) * FAILED_SHARE)[0] < FAILED_SHARE
        if not (fails and is_troubled()):
            super()._answer(run, responder, head, fault)
            return

        def finish() -> None:
            run.outcome = 'ran, answered 503'
            status = HTTPStatus.SERVICE_UNAVAILABLE
            responder.respond(status, head, b'stored, but no receipt')

        self._loop.scheduler.call_after(self.behaviour.step_s, finish)


def play(system: System) -> list[str]:
    """Return the requests whose answers promise that they have not run."""
    _start(system)
    first = []
    for number in range(int(GREY_S / PAUSE_S)):
        first.append(_pay(system, number))
        system.wait(PAUSE_S)
    system.wait(RETRY_S)
    # Requesters retry a payment only after a promise.
    again = [
        _pay(system, refused)
        for refused, answer in enumerate(first)
        if answer.status in PROMISES
    ]
    system.wait(ENDED_S)
    return _judge(system, [*first, *again])


def _start(system: System) -> None:
    system.write_manifest(build_configuration(1))
    behaviour = EngineBehaviour(step_s=STEP_S)
    for zone in OTHER_ZONES:
        system.add_engine(f'shop-{zone}', SHOP, zone, behaviour, slots=SLOTS)
    system.add_engine(
        'shop-grey',
        SHOP,
        ZONE,
        EngineBehaviour(step_s=STEP_S),
        GreyEngine,
        slots=SLOTS,
    )
    system.add_engine('models-1', MODELS, ZONE)
    system.add_gateway(HOST, ZONE, REGIONS)
    system.until_ready()
    system.wait(1.0)


def _pay(system: System, number: int) -> Answer:
    return system.send(
        HOST,
        'POST',
        '/pay/order',
        body=f'payment {number}'.encode(),
        deadline_s=2.5,
    )


def _judge(system: System, requests: list[Answer]) -> list[str]:
    runs = [run for engine in system.engines.values() for run in engine.runs]
    run_ids = {run.request_id for run in runs}
    refused = [
        each.request_id
        for each in requests
        if each.status in PROMISES and each.request_id in run_ids
    ]
    if not refused:
        return []
    twice = len(runs) - len({run.body for run in runs})
    return [
        f'REFUSED: {len(refused)} of {len(requests)} payments were answered '
        f'with a promise that they had not run, and an engine had run them; '
        f'{twice} payments were run once more after that promise',
    ]


run_case(__file__, play)
