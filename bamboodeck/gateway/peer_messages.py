"""Define the messages that the hosts of a fleet exchange."""

import msgspec

from bamboodeck.gateway.places.evacuation import EvacuationReport
from bamboodeck.gateway.ports import ShareableFact
from bamboodeck.gateway.suspect_parts import SuspectPart


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """Report a host's load on an engine."""

    engine_id: str
    requests: int
    prefill_ms: int
    # Prompt and expected output of the requests; older hosts leave it out.
    tokens: int = 0


class TrialCounts(msgspec.Struct, frozen=True, array_like=True):
    """Report the answer counts of one engine of a version on trial."""

    engine_id: str
    answers: int
    failed: int
    # Above the first ratio of `SLOW_RATIOS`, and above each of the others.
    slow: int
    slower: tuple[int, ...] = ()
    route: str = ''
    # As in `Load`.
    load: int = 0


class BaselineCounts(msgspec.Struct, frozen=True, array_like=True):
    """Report the answer counts of a service's other versions."""

    service: str
    answers: int
    failed: int
    # Above the first ratio of `SLOW_RATIOS`, and above each of the others.
    slow: int
    slower: tuple[int, ...] = ()
    route: str = ''
    # As in `Load`.
    load: int = 0


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True):
    """Report answer counts for the roll-outs in progress."""

    trial: tuple[TrialCounts, ...] = ()
    baseline: tuple[BaselineCounts, ...] = ()


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """Report a request that was running on an engine when it crashed."""

    fingerprint: str
    engine_id: str
    crashed_unix_s: float
    # The id and the start of the engine.
    incarnation: str = ''


class ClearNotice(msgspec.Struct, frozen=True, array_like=True):
    """Report that a suspected request was answered."""

    fingerprint: str
    cleared_unix_s: float


class SessionNotice(msgspec.Struct, frozen=True, array_like=True):
    """Announce the version on which a session last ran."""

    service: str
    session: str
    version: str
    # Age of the last request when the message was sent.
    age_ms: int


class HostUpdate(msgspec.Struct, frozen=True, array_like=True, tag='near'):
    """Publish a host's loads and evidence within its zone."""

    loads: tuple[EngineLoad, ...] = ()
    evidence: EvidenceReport = EvidenceReport()
    crashes: tuple[CrashNotice, ...] = ()
    # Time since the store answered the host; None if it never did.
    store_age_ms: int | None = None
    cleared: tuple[ClearNotice, ...] = ()
    # None if no zone was evacuated yet.
    evacuations: EvacuationReport | None = None


class ZoneUpdate(msgspec.Struct, frozen=True, array_like=True, tag='zone'):
    """Publish the evidence of all hosts of a zone to other zones."""

    zone: str
    evidence: EvidenceReport = EvidenceReport()
    crashes: tuple[CrashNotice, ...] = ()
    # Whether a host of the receiving zone has forwarded it, to do so only once.
    forwarded: bool = False
    cleared: tuple[ClearNotice, ...] = ()


class SessionUpdate(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='session',
):
    """Announce sessions that have to stay on their version to all hosts."""

    sessions: tuple[SessionNotice, ...]
    forwarded: bool = False


class CrashedParts(msgspec.Struct, frozen=True, array_like=True):
    """Report the prompt parts that were on an engine when it broke off."""

    # The id and the start of the engine.
    incarnation: str
    age_ms: int
    parts: tuple[SuspectPart, ...]


class AliveNotice(msgspec.Struct, frozen=True, array_like=True):
    """Report when an engine last sent something, after it broke a request."""

    incarnation: str
    age_ms: int


class SuspectUpdate(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='suspects',
):
    """Publish suspected prompt parts, and what clears others' suspects."""

    crashes: tuple[CrashedParts, ...] = ()
    harmless: tuple[str, ...] = ()
    alive: tuple[AliveNotice, ...] = ()
    forwarded: bool = False


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """Report the requests a second that an engine takes from all hosts."""

    # The id and the start of the engine.
    incarnation: str
    # None if it no longer names a limit.
    limit_per_s: float | None
    # Age of the answer that said so when the message was sent.
    age_ms: int


class LimitUpdate(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='limits',
):
    """Publish the limits that engines named to this host."""

    notices: tuple[LimitNotice, ...]
    forwarded: bool = False


class LeavingUpdate(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='leaving',
):
    """Tell which engines said in an answer that they leave."""

    incarnations: tuple[str, ...]
    forwarded: bool = False


class DownNotice(msgspec.Struct, frozen=True, array_like=True):
    """Report that an engine refused a connection."""

    incarnation: str
    # Age of the refusal when the message was sent.
    age_ms: int


class DownUpdate(msgspec.Struct, frozen=True, array_like=True, tag='down'):
    """Tell which engines were down, and so may be cold when they return."""

    notices: tuple[DownNotice, ...]
    forwarded: bool = False


class LoanQuery(msgspec.Struct, frozen=True, array_like=True, tag='borrow'):
    """Ask a host for requests of its shares in limited engines."""

    incarnations: tuple[str, ...]


class LoanGrant(msgspec.Struct, frozen=True, array_like=True, tag='lend'):
    """Lend a host one request to each engine."""

    incarnations: tuple[str, ...]


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True, tag='store'):
    """Publish changes of the store within the zone.

    The facts are all changes after one revision and up to another, except the
    configuration, which is too large for a message: a host without the
    configuration of this revision has to read it from the store.
    """

    after_revision: int
    revision: int
    configuration_revision: int
    # Time since the store last confirmed this revision as current.
    age_ms: int
    # Time left for engines missing after an outage to be listed again.
    relist_ms: int
    facts: tuple[ShareableFact, ...] = ()
    # Revisions of different eras can't be compared.
    era: int = 0


class StoreQuery(msgspec.Struct, frozen=True, array_like=True, tag='behind'):
    """Ask a host of the zone for the changes after a revision."""

    after_revision: int
    era: int = 0


PeerMessage = (
    HostUpdate
    | ZoneUpdate
    | SessionUpdate
    | SuspectUpdate
    | LimitUpdate
    | LeavingUpdate
    | DownUpdate
    | LoanQuery
    | LoanGrant
    | StoreUpdate
    | StoreQuery
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Carry a message with its sender and sequence number."""

    host: str
    started_unix_ms: int
    number: int
    message: PeerMessage
