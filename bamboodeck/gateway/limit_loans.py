"""Lend shares in limited engines to hosts that have requests waiting.

Load pattern: all engines of a service have named limits, and too few hosts
share them to serve the callers of every host, or callers favour some hosts. A
host with waiting requests asks hosts that share an engine, and one that has
room and no requests of its own waiting lends a request. What is lent counts
against the lender's share, so the sum stays the same, also if messages are
lost.
"""

from collections.abc import Callable, Sequence

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.limits import find_wait_s
from bamboodeck.gateway.peer_messages import LoanGrant, LoanQuery

# Bounds the messages of a host with a long queue.
MAX_QUERIES = 4

# Time for three questions and their answers between regions. A request that
# only a loan can serve in time is rejected after it.
LOAN_WAIT_S = 0.35

# Sends a message to a host, if its address is known.
SendToHost = Callable[[str, LoanQuery | LoanGrant], None]


class LimitLoans:
    """Ask for loans, and lend what this host doesn't need."""

    def __init__(self, context: GatewayContext, send: SendToHost) -> None:
        """Send messages to other hosts by `send`."""
        self._context = context
        self._send = send

    def find_wait_s(self, engines: Sequence[Engine], waiting: int) -> float:
        """Return how long a request may wait until its engines take it.

        It is 0 unless all of them are limited, as a place may get free at any
        time.
        """
        limits = [engine.binding_limit for engine in engines]
        if None in limits:
            return 0.0
        return find_wait_s(limits, waiting, self._context.now_s())

    def find_loan_wait_s(self, engines: Sequence[Engine]) -> float:
        """Return how long to wait for a loan; 0 if no host can lend any."""
        own = self._context.settings.host
        for engine in engines:
            limit = engine.binding_limit
            if limit is None:
                continue
            if any(host != own for host in limit.sharing_hosts):
                return LOAN_WAIT_S
        return 0.0

    def ask(self, engines: Sequence[Engine], waiting: int) -> None:
        """Ask other hosts for requests to engines, if all are limited."""
        limits = [engine.binding_limit for engine in engines]
        if not engines or None in limits:
            return
        random = self._context.environment.random
        own = self._context.settings.host
        for engine in random.sample(
            list(engines),
            min(len(engines), waiting, MAX_QUERIES),
        ):
            others = [
                host
                for host in engine.binding_limit.sharing_hosts
                if host != own
            ]
            if others:
                query = LoanQuery((engine.incarnation,))
                self._send(random.choice(others), query)

    def on_query(self, host: str, message: LoanQuery) -> None:
        """Lend requests of this host's shares."""
        now_s = self._context.now_s()
        lent = []
        for engine in self._find(message.incarnations):
            waiting = self._context.queue.count(engine.entry.service)
            limit = engine.binding_limit
            if waiting or not limit.has_own_room(now_s):
                continue
            limit.lend(now_s)
            lent.append(engine.incarnation)
        if lent:
            self._context.metrics.count('limit_lent', len(lent))
            self._send(host, LoanGrant(tuple(lent)))

    def on_grant(self, message: LoanGrant) -> None:
        """Add the requests that a host has lent."""
        for engine in self._find(message.incarnations):
            self._context.metrics.count('limit_borrowed')
            engine.binding_limit.add_loan(self._context.now_s())

    def _find(self, incarnations: Sequence[str]) -> list[Engine]:
        return [
            engine
            for engine in self._context.engines
            if engine.binding_limit is not None
            and engine.incarnation in incarnations
        ]
