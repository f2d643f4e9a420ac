"""Read and write the fleet's shared state in the platform's store."""

from collections.abc import Callable, Iterable, Iterator
from typing import Annotated

import msgspec

from bamboodeck.gateway.model import RolloutStatus
from bamboodeck.gateway.ports import (
    ConfigurationListed,
    EngineSeen,
    EngineUnlisted,
    Fact,
    HistoryLost,
    LeaseLapsed,
    OnWritten,
    Outdated,
    PartListed,
    PartUnlisted,
    PeerListed,
    PeerUnlisted,
    RegistryFailed,
    RegistryReply,
    RolloutOrdered,
    RolloutStatusListed,
    RolloutStep,
    RolloutStepListed,
    Snapshot,
    Unreadable,
    Update,
    WriteFailed,
    WriteReply,
    Written,
)
from bamboodeck.http.messages import Address, AddressError, parse_address
from bamboodeck.platform import protocol
from bamboodeck.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_document,
    decode_engine,
    decode_rollout,
    decode_status,
    encode_status,
)
from bamboodeck.platform.evacuations import decode_evacuation, is_evacuation
from bamboodeck.platform.store import (
    Change,
    ChangesRead,
    ChangesTooLarge,
    Committed,
    Condition,
    Conflict,
    HistoryCompacted,
    Item,
    ItemsRead,
    LeaseExpired,
    LeaseGranted,
    PlatformStore,
    Removal,
    StoreFailed,
    StoreReply,
    Write,
)

# The empty prefix matches all keys, so a single watch covers them.
_ALL_KEYS_PREFIX = ''
_HOST_PREFIX = f'{protocol.OWN_PREFIX}hosts/'
_STEP_PREFIX = f'{protocol.OWN_PREFIX}rollouts/'
_PART_PREFIX = f'{protocol.OWN_PREFIX}parts/'


# Far more than roll-outs have.
_MAX_STEP = 1000


class _WireHost(msgspec.Struct, frozen=True):
    address: str
    zone: str


class _WireStep(msgspec.Struct, frozen=True):
    version: str
    step: Annotated[int, msgspec.Meta(ge=0, le=_MAX_STEP)]
    began_unix_s: float
    withdrawn: tuple[str, ...] = ()


class PlatformRegistry:
    """Convert store items to registry facts, and updates to store writes."""

    def __init__(self, store: PlatformStore) -> None:
        """Use a client of the store."""
        self._store = store
        self._lease: LeaseGranted | None = None

    def read_all(
        self,
        on_reply: Callable[[RegistryReply], None],
        *,
        stale: bool = False,
    ) -> None:
        """Read all keys; a `stale` read is cheap but may be seconds old."""
        self._store.read_prefix(
            _ALL_KEYS_PREFIX,
            lambda reply: on_reply(_translate(reply)),
            stale=stale,
        )

    def read_configuration(
        self,
        on_reply: Callable[[RegistryReply], None],
    ) -> None:
        """Read only the configuration; the result may be seconds old."""
        self._store.read_prefix(
            protocol.CONFIGURATION_KEY,
            lambda reply: on_reply(_translate(reply)),
            stale=True,
        )

    def wait_for_changes(
        self,
        after_revision: int,
        wait_s: float,
        on_reply: Callable[[RegistryReply], None],
    ) -> None:
        """Wait up to `wait_s` for changes after a revision."""
        self._store.watch(
            _ALL_KEYS_PREFIX,
            after_revision,
            wait_s,
            lambda reply: on_reply(_translate(reply)),
        )

    def write_step(
        self,
        step: RolloutStep,
        replaced_revision: int,
        on_written: OnWritten,
    ) -> None:
        """Write a roll-out step unless its key has changed meanwhile."""
        key = f'{_STEP_PREFIX}{step.service}'
        content = msgspec.json.encode(
            _WireStep(
                step.version,
                step.step,
                step.began_unix_s,
                step.withdrawn,
            ),
        )
        self._replace(key, content, replaced_revision, on_written)

    def write_status(
        self,
        service: str,
        status: RolloutStatus,
        replaced_revision: int,
        on_written: OnWritten,
    ) -> None:
        """Write a roll-out status unless its key has changed meanwhile."""
        key = f'{protocol.STATUS_PREFIX}{service}'
        content = encode_status(status)
        self._replace(key, content, replaced_revision, on_written)

    def list_host(
        self,
        host: str,
        zone: str,
        address: Address,
        lease_s: float,
        on_written: OnWritten,
    ) -> None:
        """List this host under a lease, which must be renewed."""
        content = msgspec.json.encode(_WireHost(str(address), zone))

        def on_lease(reply: StoreReply) -> None:
            if not isinstance(reply, LeaseGranted):
                on_written(_translate_write(reply))
                return
            self._lease = reply
            self._store.commit(
                (),
                (Write(f'{_HOST_PREFIX}{host}', content, reply.lease),),
                lambda committed: on_written(_translate_write(committed)),
            )

        self._store.grant_lease(lease_s, on_lease)

    def renew_host(self, on_written: OnWritten) -> None:
        """Renew the lease of this host's entry."""
        if self._lease is None:
            on_written(LeaseLapsed())
            return
        self._store.renew_lease(
            self._lease,
            lambda reply: on_written(_translate_write(reply)),
        )

    def list_part(
        self,
        part_id: str,
        lease_s: float,
        on_written: OnWritten,
    ) -> None:
        """List a prompt part for a duration, unless it is listed already."""
        key = f'{_PART_PREFIX}{part_id}'

        def on_lease(reply: StoreReply) -> None:
            if not isinstance(reply, LeaseGranted):
                on_written(_translate_write(reply))
                return
            self._store.commit(
                (Condition(key, 0),),
                (Write(key, b'', reply.lease),),
                lambda committed: on_written(_translate_write(committed)),
            )

        self._store.grant_lease(lease_s, on_lease)

    def _replace(
        self,
        key: str,
        content: bytes,
        replaced_revision: int,
        on_written: OnWritten,
    ) -> None:
        self._store.commit(
            (Condition(key, replaced_revision),),
            (Write(key, content),),
            lambda reply: on_written(_translate_write(reply)),
        )


def _translate(reply: StoreReply) -> RegistryReply:
    match reply:
        case ItemsRead(items=items, revision=revision, era=era):
            return Snapshot(tuple(_decode_facts(items)), revision, era)
        case ChangesRead(changes=changes, revision=revision, era=era):
            return Update(tuple(_decode_facts(changes)), revision, era)
        case HistoryCompacted(era=era):
            return HistoryLost(era)
        case ChangesTooLarge():
            return HistoryLost(too_large=True)
        case StoreFailed(reason=reason):
            return RegistryFailed(reason)
    return RegistryFailed(f'unexpected {type(reply).__name__}')


def _translate_write(reply: StoreReply) -> WriteReply:
    match reply:
        case Committed(revision=revision, era=era):
            return Written(revision, era)
        case LeaseGranted():
            return Written(0)
        case Conflict():
            return Outdated()
        case LeaseExpired():
            return LeaseLapsed()
        case StoreFailed(reason=reason):
            return WriteFailed(reason)
    return WriteFailed(f'unexpected {type(reply).__name__}')


def _decode_facts(changes: Iterable[Change]) -> Iterator[Fact]:
    for change in changes:
        try:
            fact = _decode_fact(change)
        except (DocumentError, AddressError) as error:
            yield Unreadable(change.key, str(error), change.revision)
            fact = _unlist_unreadable(change)
        if fact is not None:
            yield fact


def _decode_fact(change: Change) -> Fact | None:
    if is_evacuation(change):
        return decode_evacuation(change)
    match change:
        case Removal(key=key, revision=revision):
            return _decode_removal(key, revision)
        case Item():
            return _decode_item(change)
    return None


def _decode_item(item: Item) -> Fact | None:
    key = item.key
    content = item.content
    revision = item.revision
    if key == protocol.CONFIGURATION_KEY:
        return ConfigurationListed(decode_configuration(content), revision)
    if key.startswith(protocol.ENGINE_PREFIX):
        engine_id = key.removeprefix(protocol.ENGINE_PREFIX)
        return EngineSeen(decode_engine(engine_id, content), revision)
    if key.startswith(protocol.ROLLOUT_PREFIX):
        return RolloutOrdered(decode_rollout(content), revision)
    if key.startswith(protocol.STATUS_PREFIX):
        service = key.removeprefix(protocol.STATUS_PREFIX)
        return RolloutStatusListed(service, decode_status(content), revision)
    if key.startswith(_HOST_PREFIX):
        wire = decode_document(content, _WireHost)
        host = key.removeprefix(_HOST_PREFIX)
        address = parse_address(wire.address)
        return PeerListed(host, address, wire.zone, revision)
    if key.startswith(_PART_PREFIX):
        return PartListed(key.removeprefix(_PART_PREFIX), revision)
    if key.startswith(_STEP_PREFIX):
        step = decode_document(content, _WireStep)
        service = key.removeprefix(_STEP_PREFIX)
        return RolloutStepListed(
            RolloutStep(
                service,
                step.version,
                step.step,
                step.began_unix_s,
                step.withdrawn,
            ),
            revision,
        )
    return None


def _decode_removal(key: str, revision: int) -> Fact | None:
    if key.startswith(protocol.ENGINE_PREFIX):
        engine_id = key.removeprefix(protocol.ENGINE_PREFIX)
        return EngineUnlisted(engine_id, 'entry removed', revision)
    if key.startswith(_HOST_PREFIX):
        return PeerUnlisted(key.removeprefix(_HOST_PREFIX), revision)
    if key.startswith(_PART_PREFIX):
        return PartUnlisted(key.removeprefix(_PART_PREFIX), revision)
    return None


def _unlist_unreadable(change: Change) -> Fact | None:
    # An engine with an unreadable entry must not receive requests.
    if change.key.startswith(protocol.ENGINE_PREFIX):
        engine_id = change.key.removeprefix(protocol.ENGINE_PREFIX)
        return EngineUnlisted(engine_id, 'entry unreadable', change.revision)
    return None
