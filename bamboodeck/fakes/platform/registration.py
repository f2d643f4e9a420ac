"""Keep a stand-in engine listed in the platform's store, as engines do."""

from bamboodeck.fakes.platform.engine import PlatformEngineFake
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import Address
from bamboodeck.loop.program import Loop
from bamboodeck.platform import protocol
from bamboodeck.platform.store import (
    LeaseGranted,
    PlatformStore,
    StoreReply,
    Write,
)

# Engines send a heartbeat about this often and lapse after three.
HEARTBEAT_S = 1.2
LEASE_S = 3.6
# How long an engine that leaves still serves.
LINGER_S = 0.5


class Registration:
    """List an engine under a lease that its heartbeats renew."""

    def __init__(
        self,
        loop: Loop,
        store: Address,
        engine: PlatformEngineFake,
        service: str,
        zone: str,
    ) -> None:
        """List the engine now."""
        self._loop = loop
        self._engine = engine
        self._service = service
        self._zone = zone
        self._client = HttpClient(loop)
        self._store = PlatformStore(self._client, store)
        self._lease: LeaseGranted | None = None
        self._state = 'ready'
        self._sequence = 0
        self._list()
        loop.scheduler.call_every(HEARTBEAT_S, self._beat)

    def leave(self) -> None:
        """Say that the engine leaves, serve on for a while, then end."""
        self._state = 'draining'
        self._write()
        self._loop.scheduler.call_after(LINGER_S, self._loop.finish)

    def _list(self) -> None:
        self._store.grant_lease(LEASE_S, self._on_lease)

    def _on_lease(self, reply: StoreReply) -> None:
        # Without a lease the next heartbeat asks for one again.
        if isinstance(reply, LeaseGranted):
            self._lease = reply
            self._write()

    def _write(self) -> None:
        if self._lease is None:
            return
        self._sequence += 1
        content = self._engine.entry(
            self._service,
            self._zone,
            state=self._state,
            sequence=self._sequence,
        )
        key = f'{protocol.ENGINE_PREFIX}{self._engine.engine_id}'
        write = Write(key, content, self._lease.lease)
        self._store.commit((), (write,), _ignore)

    def _beat(self) -> None:
        if self._lease is None:
            self._list()
            return
        self._store.renew_lease(self._lease, self._on_renewed)

    def _on_renewed(self, reply: StoreReply) -> None:
        if not isinstance(reply, LeaseGranted):
            self._lease = None
            self._list()


def _ignore(reply: StoreReply) -> None:
    """A heartbeat later tells whether the entry is there."""
