"""Send an engine far more than its limit once no host was told it for long."""

from pathlib import Path

from bamboodeck.fakes.platform.documents import (
    LOOK,
    SHOP,
    build_configuration,
)
from bamboodeck.fakes.platform.engine import EngineBehaviour
from review.rig3.callers import Callers
from review.rig3.case import Record, run_case
from review.rig3.fleet import Fleet
from review.rig3.limits import NamedLimit, exceeds_limit

GATEWAYS = 3
ENGINES = 3
WORK_S = 0.2
PER_S = 90
BEFORE_S = 5.0
LIMITED_S = 45.0
# Three requests a minute.
LIMIT_PER_S = 0.05
# As much as all callers send; the same header, and no need to hold back.
AMPLE_PER_S = 1000.0


def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Have one of three engines name a limit in all its answers."""
    for number in range(ENGINES):
        behaviour = EngineBehaviour(step_s=WORK_S)
        fleet.add_engine(f'shop-{number}', SHOP, behaviour)
    for number in range(GATEWAYS):
        fleet.add_gateway(f'front-{number}')
    callers = Callers(fleet.client, fleet.callers)
    timer = fleet.loop.scheduler.call_every(
        1 / PER_S,
        lambda: callers.send(LOOK, method='GET'),
    )
    fleet.run_for(BEFORE_S)
    limit_per_s = LIMIT_PER_S if trouble else AMPLE_PER_S
    engine = fleet.engines['shop-0']
    engine.behaviour.limit_per_s = limit_per_s
    named_s = fleet.loop.scheduler.now_s()
    fleet.run_for(LIMITED_S)
    timer.cancel()
    limit = NamedLimit(limit_per_s, named_s)
    return exceeds_limit(record, callers, engine, limit)


if __name__ == '__main__':
    run_case(Path(__file__).parent, Fleet(build_configuration()), play)
