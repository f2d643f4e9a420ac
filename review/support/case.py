"""Run a case: start the processes, play it, and exit with its verdict."""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from review.support.caller import Question, ask, connect
from review.support.engine import Behaviour, Engine
from review.support.gateway import Gateway
from review.support.manifest import build_manifest
from review.support.messages import Answer
from review.support.record import Record
from review.support.store import Store

MAX_DURATION_S = 110.0
START_TIMEOUT_S = 30.0
POLL_S = 0.1

HELD = 0
BROKEN = 1
NOT_RUN = 2

_SERVED = 200


class NotRunError(Exception):
    """Report that the case couldn't be played."""


@dataclass
class Case:
    """Hold the parts of a case while it runs."""

    folder: Path
    record: Record
    # Whether the disruption is played.
    trouble: bool
    store: Store = field(default_factory=Store)
    gateways: list[Gateway] = field(default_factory=list)
    engines: list[Engine] = field(default_factory=list)

    async def add_engine(
        self,
        engine_id: str,
        service: str,
        behave: Behaviour,
        slots: int = 6,
    ) -> Engine:
        """Start an engine that lists itself."""
        engine = Engine(
            engine_id,
            service,
            self.store,
            self.record,
            behave,
            slots,
        )
        self.engines.append(engine)
        await engine.enter()
        return engine

    async def add_engines(
        self,
        engine_ids: Iterable[str],
        service: str,
        behave: Behaviour,
        slots: int = 6,
    ) -> None:
        """Start engines that list themselves."""
        await asyncio.gather(
            *(
                self.add_engine(engine_id, service, behave, slots)
                for engine_id in engine_ids
            ),
        )

    async def add_gateway(self, zone: str = 'gent-a') -> Gateway:
        """Start a gateway and wait until it is ready."""
        name = f'front-{zone}-{len(self.gateways) + 1}'
        door = await self.store.open_door()
        gateway = Gateway(name, self.folder, door, zone)
        self.gateways.append(gateway)
        await gateway.start()
        await self.until_ready(gateway)
        return gateway

    async def add_gateways(self, *zones: str) -> None:
        """Start a gateway in each zone, one after the other."""
        left = list(zones)
        while left:
            await self.add_gateway(left.pop(0))

    async def until_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway takes requests."""
        give_up_s = self.record.now_s() + START_TIMEOUT_S
        status = 0
        while status != _SERVED:
            if self.record.now_s() > give_up_s:
                raise NotRunError(f'{gateway.name} is not ready')
            await asyncio.sleep(POLL_S)
            status = await _probe(gateway)
        self.record.add('ready', gateway.name)

    async def ask(self, question: Question, gateway: int = 0) -> Answer:
        """Send a request on a new connection."""
        port = self.gateways[gateway].callers_port
        return await ask(port, self.record, question)

    async def end(self) -> None:
        """End all processes that were started."""
        self.store.close()
        await asyncio.gather(*(gateway.end() for gateway in self.gateways))
        for engine in self.engines:
            engine.crash()
        # Lets the handlers of the connections end.
        await asyncio.sleep(POLL_S)


# Returns what broke the rule, or nothing if it held.
Play = Callable[[Case], Awaitable[str]]


def run_case(script: str, play: Play) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if not run.

    `script` is the path of the case's file, beside which the record is written.
    """
    record = Record(Path(script).resolve().parent / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add('trouble' if trouble else 'no trouble')
    status = asyncio.run(_run(record, play, trouble=trouble))
    record.close()
    sys.exit(status)


async def _run(record: Record, play: Play, *, trouble: bool) -> int:
    running = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, running.cancel)
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder), record, trouble)
        case.store.put('op/config', build_manifest(1))
        expiry = asyncio.create_task(case.store.expire())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(case.end)
            stack.callback(expiry.cancel)
            return await _judge(case, play)


async def _judge(case: Case, play: Play) -> int:
    try:
        broken = await asyncio.wait_for(play(case), MAX_DURATION_S)
    except (Exception, asyncio.CancelledError) as error:
        # Whatever stops the play says nothing about the rule.
        case.record.add('not run:', repr(error))
        return NOT_RUN
    case.record.add('broken:' if broken else 'held', broken)
    return BROKEN if broken else HELD


async def _probe(gateway: Gateway) -> int:
    try:
        channel = await connect(gateway.ready_port, _NoRecord())
    except OSError:
        return 0
    answer = await channel.ask(Question('/api/ready'))
    channel.close()
    return answer.status


class _NoRecord(Record):
    def __init__(self) -> None:
        """Write nothing."""

    def add(self, *words: object) -> None:
        """Leave readiness checks out."""
