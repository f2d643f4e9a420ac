"""Define what the hosts of a fleet tell each other."""

import msgspec

from bamboodeck.gateway.ports import ShareableFact


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """Tell what a host has running on an engine."""

    engine_id: str
    requests: int
    prefill_ms: int


class TrialCounts(msgspec.Struct, frozen=True, array_like=True):
    """Count a host's answers of one engine of a version on trial."""

    engine_id: str
    answers: int
    failed: int
    slow: int


class BaselineCounts(msgspec.Struct, frozen=True, array_like=True):
    """Count a host's answers of a service's other versions."""

    service: str
    answers: int
    failed: int
    slow: int


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True):
    """Tell how the answers were during the roll-outs that are under way."""

    trial: tuple[TrialCounts, ...] = ()
    baseline: tuple[BaselineCounts, ...] = ()


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tell of a request that ran on an engine when it crashed."""

    fingerprint: str
    engine_id: str
    crashed_unix_s: float


class SessionNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tell on which version a session last ran."""

    service: str
    session: str
    version: str
    # How long before the news it last ran.
    age_ms: int


class HostUpdate(msgspec.Struct, frozen=True, array_like=True, tag='near'):
    """Tell the hosts of the zone what runs where."""

    loads: tuple[EngineLoad, ...] = ()
    evidence: EvidenceReport = EvidenceReport()
    crashes: tuple[CrashNotice, ...] = ()


class ZoneUpdate(msgspec.Struct, frozen=True, array_like=True, tag='zone'):
    """Tell other zones what concerns them of all hosts of a zone."""

    zone: str
    evidence: EvidenceReport = EvidenceReport()
    crashes: tuple[CrashNotice, ...] = ()
    # Whether a neighbour has passed it on; it does so once.
    forwarded: bool = False


class SessionUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag='session'
):
    """Tell all hosts of sessions that have to stay on their version."""

    sessions: tuple[SessionNotice, ...]
    forwarded: bool = False


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True, tag='store'):
    """Tell the hosts of the zone what the store lists.

    The facts are all changes after one revision and up to another, but for
    the configuration, which is too large to be told: a host that hasn't the
    one of this revision has to read it.
    """

    after_revision: int
    revision: int
    configuration_revision: int
    # How long ago the store has confirmed that this is all.
    age_ms: int
    # How long engines that are missing after an outage may still return.
    relist_ms: int
    facts: tuple[ShareableFact, ...] = ()


PeerMessage = HostUpdate | ZoneUpdate | SessionUpdate | StoreUpdate


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Name the sender of news and order them."""

    host: str
    started_unix_ms: int
    number: int
    message: PeerMessage
