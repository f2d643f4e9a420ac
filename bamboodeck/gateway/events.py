"""Define the gateway's log events; each class names one."""

import msgspec


class GatewayStarted(msgspec.Struct, frozen=True):
    """Log that the process listens."""

    host: str
    zone: str
    callers: str
    ready: str
    peers: str
    metrics: str
    store: str
    start_ms: float


class GatewayStopping(msgspec.Struct, frozen=True):
    """Log that the process takes no new connections before long."""

    running: int
    waiting: int
    grace_s: float


class GatewayStopped(msgspec.Struct, frozen=True):
    """Log that the process ends, with the answers that it broke off."""

    broken_off: int
    ran_s: float


class SettingsReloaded(msgspec.Struct, frozen=True):
    """Log that the settings file was read again."""

    cause: str
    changed: bool


class SettingsRefused(msgspec.Struct, frozen=True):
    """Log that a changed settings file has faults and isn't used."""

    faults: str


class StoreLost(msgspec.Struct, frozen=True):
    """Log that the store doesn't answer; what is known stays in force."""

    reason: str
    revision: int
    age_s: float


class StoreRegained(msgspec.Struct, frozen=True):
    """Log that the store answers again."""

    revision: int
    away_s: float


class ConfigurationApplied(msgspec.Struct, frozen=True):
    """Log a configuration that is now in force on this host."""

    version: int
    revision: int
    routes: int
    services: int
    keys: int


class ConfigurationIgnored(msgspec.Struct, frozen=True):
    """Log a configuration that isn't newer than the one in force."""

    version: int
    in_force: int
    revision: int


class DocumentSkipped(msgspec.Struct, frozen=True):
    """Log a document of the store that can't be read."""

    key: str
    revision: int
    reason: str


class EngineListed(msgspec.Struct, frozen=True):
    """Log what the registry says of an engine."""

    engine: str
    service: str
    address: str
    zone: str
    version: str
    state: str
    started_unix_ms: int
    revision: int


class EngineGone(msgspec.Struct, frozen=True):
    """Log that an engine gets no new work, and why."""

    engine: str
    reason: str
    revision: int


class EnginePaused(msgspec.Struct, frozen=True):
    """Log that an engine couldn't be reached or went silent."""

    engine: str
    reason: str
    pause_s: float
    requests: int


class EngineBack(msgspec.Struct, frozen=True):
    """Log that a paused engine answers again."""

    engine: str


class RequestPlaced(msgspec.Struct, frozen=True):
    """Log where a request goes, and what decided it."""

    request_id: str
    route: str
    customer: str
    session: str
    service: str
    engine: str
    zone: str
    version: str
    model: str
    attempt: int
    predicted_ms: float
    cost_ms: float
    candidates: int
    engine_requests: int
    engine_work_ms: float
    left_ms: float
    waited_ms: float
    configuration: int
    registry_age_s: float


class RequestWaits(msgspec.Struct, frozen=True):
    """Log that a request waits for a place."""

    request_id: str
    service: str
    rank: int
    waiting: int
    expected_ms: float


class AnswerJudged(msgspec.Struct, frozen=True):
    """Log whether an answer is passed on or asked of a larger model."""

    request_id: str
    engine: str
    model: str
    confidence: int
    left_ms: float
    larger_ms: float
    decision: str


class AttemptFailed(msgspec.Struct, frozen=True):
    """Log an attempt that brought no whole answer, and what follows."""

    request_id: str
    engine: str
    cause: str
    reason: str
    status: int
    after_ms: float
    attempt: int
    sequel: str


class RequestEnded(msgspec.Struct, frozen=True):
    """Log how a request ended."""

    request_id: str
    route: str
    status: int
    outcome: str
    reason: str
    attempts: int
    first_ms: float
    total_ms: float
    longest_gap_ms: float
    sent_bytes: int


class RolloutSeen(msgspec.Struct, frozen=True):
    """Log an operator's order for a roll-out."""

    service: str
    version: str
    duration_s: float
    revision: int


class RolloutMoved(msgspec.Struct, frozen=True):
    """Log a step or an end of a roll-out that this host has learned."""

    service: str
    version: str
    step: int
    state: str
    revision: int


class RolloutJudged(msgspec.Struct, frozen=True):
    """Log that a version is bad by the shared evidence."""

    service: str
    version: str
    new_answers: int
    new_failed: int
    new_slow: int
    old_answers: int
    old_failed: int
    old_slow: int


class RolloutWritten(msgspec.Struct, frozen=True):
    """Log what became of a write of a roll-out's step or status."""

    service: str
    version: str
    step: int
    state: str
    outcome: str


class RequestSuspected(msgspec.Struct, frozen=True):
    """Log that a request was running when its engine crashed."""

    engine: str
    fingerprint: str


class PeerSeen(msgspec.Struct, frozen=True):
    """Log a host of the fleet that is now known."""

    host: str
    address: str
    hosts: int


class PeerGone(msgspec.Struct, frozen=True):
    """Log a host that is no longer listed."""

    host: str
    hosts: int


class MembershipFailed(msgspec.Struct, frozen=True):
    """Log that this host isn't listed for its peers."""

    reason: str


class LinesLeftOut(msgspec.Struct, frozen=True):
    """Log how many lines were left out to bound the volume."""

    lines: int
    period_s: float
