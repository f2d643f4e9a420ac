"""Register a stand-in engine in the platform's store."""

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

# The platform's engines send heartbeats at about this interval, and their
# lease expires after three.
HEARTBEAT_S = 1.2
LEASE_S = 3.6
# Time in which a draining engine still serves requests.
DRAIN_S = 0.5


class Registration:
    """Register an engine under a lease that heartbeats renew."""

    def __init__(
        self,
        loop: Loop,
        store: Address,
        engine: PlatformEngineFake,
        service: str,
        zone: str,
    ) -> None:
        """Register the engine and start the heartbeats."""
        self._loop = loop
        self._engine = engine
        self._service = service
        self._zone = zone
        self._client = HttpClient(loop)
        self._store = PlatformStore(self._client, store)
        self._lease: LeaseGranted | None = None
        self._state = 'ready'
        self._sequence = 0
        self._register()
        loop.scheduler.call_every(HEARTBEAT_S, self._send_heartbeat)

    def leave(self) -> None:
        """Mark the engine as draining and end the loop after `DRAIN_S`."""
        self._state = 'draining'
        self._write_entry()
        self._loop.scheduler.call_after(DRAIN_S, self._loop.finish)

    def _register(self) -> None:
        self._store.grant_lease(LEASE_S, self._on_lease_granted)

    def _on_lease_granted(self, reply: StoreReply) -> None:
        # If the grant fails, the next heartbeat requests a lease again.
        if isinstance(reply, LeaseGranted):
            self._lease = reply
            self._write_entry()

    def _write_entry(self) -> None:
        if self._lease is None:
            return
        self._sequence += 1
        content = self._engine.build_registry_entry(
            self._service,
            self._zone,
            state=self._state,
            sequence=self._sequence,
        )
        key = f'{protocol.ENGINE_PREFIX}{self._engine.engine_id}'
        write = Write(key, content, self._lease.lease)
        self._store.commit((), (write,), _ignore)

    def _send_heartbeat(self) -> None:
        if self._lease is None:
            self._register()
            return
        self._store.renew_lease(self._lease, self._on_lease_renewed)

    def _on_lease_renewed(self, reply: StoreReply) -> None:
        if not isinstance(reply, LeaseGranted):
            self._lease = None
            self._register()


def _ignore(reply: StoreReply) -> None:
    """Ignore the result: an expired lease shows at the next heartbeat."""
