"""Keep the requests on a model engine within the engine's memory.

Load pattern: large prompts arrive in bursts at many hosts. An engine crashes,
with all requests on it, if they exceed its memory. Each host counts its own
requests at once and learns those of the other hosts with a delay.
"""

import enum
import math

import msgspec

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engine_events import EngineMemoryFull
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.fleet import MAX_DIRECT_PEERS
from bamboodeck.gateway.model import CallerRequest
from bamboodeck.gateway.placement import (
    PEER_LOAD_MAX_AGE_S,
    count_request_tokens,
    rendezvous_hash,
)

# Part of the memory that is kept free for requests that other hosts have sent
# since their last report. Answers may also be longer than expected.
RESERVED_SHARE = 0.15
# Part of the memory that a zone may fill of an engine in another zone, whose
# own requests there it doesn't know.
REMOTE_SHARE = 0.15
# Hosts of other zones that send a large request to an engine in one turn. With
# one, a zone that lost its engines could send fewer large requests a second
# than its callers do.
REMOTE_HOSTS = 3
# Loads that hosts decide on are up to two publishing periods old.
TURN_S = 0.5


@enum.unique
class MemoryFit(enum.Enum):
    """State whether an engine has the memory for a request."""

    FITS = 'fits'
    # It will, once running requests have ended.
    FULL = 'full'
    # Not even without any other request.
    TOO_LARGE = 'too-large'


class MemoryUse(msgspec.Struct, frozen=True):
    """Describe the memory of an engine, and a request for it, in tokens."""

    # 0 if unknown, which is no limit.
    capacity_tokens: int
    # The known requests of all hosts.
    held_tokens: int
    # Prompt and expected output of the request.
    request_tokens: int
    # Hosts that send to the engine and know each other's requests there.
    hosts: int
    # This host's place, from 0 to 1, in the present turn.
    turn: float = 0.0
    # Whether hosts send there whose requests this host doesn't know.
    remote: bool = False
    # Requests that this host sent to the engine within the last turn.
    sent: int = 0
    # Whether requests wait at this host, so probably at the others too.
    waiting: bool = False


def decide_fit(use: MemoryUse) -> MemoryFit:
    """Decide whether a request fits into an engine's memory now."""
    if use.capacity_tokens <= 0 or use.request_tokens <= 0:
        return MemoryFit.FITS
    if use.request_tokens > use.capacity_tokens:
        return MemoryFit.TOO_LARGE
    usable = use.capacity_tokens * _find_usable_share(use)
    if use.remote and use.request_tokens * REMOTE_HOSTS > usable:
        # Many hosts that send one each would overfill it.
        alone = not use.held_tokens and use.turn * use.hosts < REMOTE_HOSTS
        return MemoryFit.FITS if alone else MemoryFit.FULL
    requests = (usable - use.held_tokens) // use.request_tokens
    if requests < 1:
        return MemoryFit.FULL if use.held_tokens else MemoryFit.FITS
    return MemoryFit.FITS if _may_send(use, requests) else MemoryFit.FULL


def _find_usable_share(use: MemoryUse) -> float:
    if use.remote:
        return REMOTE_SHARE
    return 1 - RESERVED_SHARE if use.hosts > 1 else 1.0


def _may_send(use: MemoryUse, requests: float) -> bool:
    if use.hosts == 1 or not use.waiting:
        return True
    # As many hosts as there is room for send one request each.
    return use.sent == 0 and use.turn * use.hosts < requests


def find_turn(host: str, incarnation: str, now_unix_s: float) -> float:
    """Return the place of a host, from 0 to 1, in an engine's present turn.

    Hosts see the same free memory at the same time, and would all use it.
    """
    return rendezvous_hash(
        f'{host}/{int(now_unix_s / TURN_S)}',
        incarnation,
    )


class EngineMemory:
    """Tell which engines have memory for a request."""

    def __init__(self, context: GatewayContext) -> None:
        """Take the capacities from the configuration in force."""
        self._context = context

    def has_room(
        self,
        engine: Engine,
        request: CallerRequest,
        hosts: int,
    ) -> bool:
        """Tell whether an engine has room, in a fleet of `hosts` hosts."""
        if request.generation is None:
            return True
        use = self._describe(engine, request, hosts)
        if decide_fit(use) is MemoryFit.FITS:
            engine.memory_full = False
            return True
        self._context.metrics.count('engine_memory_full')
        if not engine.memory_full:
            engine.memory_full = True
            self._context.log.emit(
                EngineMemoryFull(
                    engine.entry.engine_id,
                    use.capacity_tokens,
                    use.held_tokens,
                    use.request_tokens,
                ),
            )
        return False

    def is_too_large(self, engine: Engine, request: CallerRequest) -> bool:
        """Tell whether a request exceeds the whole memory of an engine."""
        use = self._describe(engine, request, hosts=1)
        return decide_fit(use) is MemoryFit.TOO_LARGE

    def _describe(
        self,
        engine: Engine,
        request: CallerRequest,
        hosts: int,
    ) -> MemoryUse:
        capacity_tokens = self._find_capacity(engine)
        if not capacity_tokens:
            return MemoryUse(0, 0, 0, hosts)
        context = self._context
        now_s = context.now_s()
        zones = max(len(context.settings.regions_by_zone), 1)
        in_zone = math.ceil(hosts / zones)
        # Larger fleets publish loads within the zone only, see `Fleet`.
        remote = (
            hosts - in_zone > MAX_DIRECT_PEERS
            and engine.entry.zone != context.settings.zone
        )
        if hosts - in_zone > MAX_DIRECT_PEERS and not remote:
            hosts = in_zone
        fresh_s = now_s - PEER_LOAD_MAX_AGE_S
        return MemoryUse(
            capacity_tokens=capacity_tokens,
            held_tokens=engine.total_tokens(fresh_s),
            request_tokens=count_request_tokens(request.generation),
            hosts=hosts,
            turn=find_turn(
                context.settings.host,
                engine.incarnation,
                context.environment.wall_s(),
            ),
            remote=remote,
            sent=engine.count_sent_since(now_s - TURN_S),
            waiting=context.queue.count(engine.entry.service) > 0,
        )

    def _find_capacity(self, engine: Engine) -> int:
        configuration = self._context.configuration
        if configuration is None:
            return 0
        if not self._context.settings.engine_memory_bound:
            return 0
        service = configuration.services.get(engine.entry.service)
        if service is None or service.batch is None:
            return 0
        return service.batch.memory_tokens
