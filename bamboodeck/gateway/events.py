"""Define the gateway's log events; each class names one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewayStarted:
    """Log that the process listens."""

    host: str
    zone: str
    callers: str
    ready: str
    peers: str
    metrics: str
    store: str
    start_ms: float


@dataclass(frozen=True, slots=True)
class GatewayStopping:
    """Log that the process takes no new connections before long."""

    running: int
    waiting: int
    grace_s: float


@dataclass(frozen=True, slots=True)
class GatewayStopped:
    """Log that the process ends, with the answers that it broke off."""

    broken_off: int
    ran_s: float


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """Log that the settings file was read again."""

    cause: str
    changed: bool


@dataclass(frozen=True, slots=True)
class SettingsRefused:
    """Log that a changed settings file has faults and isn't used."""

    faults: str


@dataclass(frozen=True, slots=True)
class StoreLost:
    """Log that the store doesn't answer; what is known stays in force."""

    reason: str
    revision: int
    age_s: float


@dataclass(frozen=True, slots=True)
class StoreRegained:
    """Log that the store answers again."""

    revision: int
    away_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Log a configuration that is now in force on this host."""

    version: int
    revision: int
    routes: int
    services: int
    keys: int


@dataclass(frozen=True, slots=True)
class ConfigurationIgnored:
    """Log a configuration that isn't newer than the one in force."""

    version: int
    in_force: int
    revision: int


@dataclass(frozen=True, slots=True)
class DocumentSkipped:
    """Log a document of the store that can't be read."""

    key: str
    revision: int
    reason: str


@dataclass(frozen=True, slots=True)
class EngineListed:
    """Log what the registry says of an engine."""

    engine: str
    service: str
    address: str
    zone: str
    version: str
    state: str
    started_unix_ms: int
    revision: int


@dataclass(frozen=True, slots=True)
class EngineGone:
    """Log that an engine gets no new work, and why."""

    engine: str
    reason: str
    revision: int


@dataclass(frozen=True, slots=True)
class EnginePaused:
    """Log that an engine couldn't be reached or went silent."""

    engine: str
    reason: str
    pause_s: float
    requests: int


@dataclass(frozen=True, slots=True)
class EngineBack:
    """Log that a paused engine answers again."""

    engine: str


@dataclass(frozen=True, slots=True)
class RequestPlaced:
    """Log where a request goes, and what decided it."""

    request_id: str
    route: str
    customer: str
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


@dataclass(frozen=True, slots=True)
class RequestWaits:
    """Log that a request waits for a place."""

    request_id: str
    service: str
    rank: int
    waiting: int
    expected_ms: float


@dataclass(frozen=True, slots=True)
class AnswerJudged:
    """Log whether an answer is passed on or asked of a larger model."""

    request_id: str
    engine: str
    model: str
    confidence: int
    left_ms: float
    larger_ms: float
    decision: str


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Log an attempt that brought no whole answer, and what follows."""

    request_id: str
    engine: str
    cause: str
    reason: str
    status: int
    after_ms: float
    attempt: int
    sequel: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Log how a request ended."""

    request_id: str
    route: str
    status: int
    outcome: str
    reason: str
    attempts: int
    first_ms: float
    total_ms: float
    sent_bytes: int


@dataclass(frozen=True, slots=True)
class RolloutSeen:
    """Log an operator's order for a roll-out."""

    service: str
    version: str
    duration_s: float
    revision: int


@dataclass(frozen=True, slots=True)
class RolloutMoved:
    """Log a step or an end of a roll-out that this host has learned."""

    service: str
    version: str
    step: int
    state: str
    revision: int


@dataclass(frozen=True, slots=True)
class RolloutJudged:
    """Log that a version is bad by the shared evidence."""

    service: str
    version: str
    new_answers: int
    new_bad: int
    old_answers: int
    old_bad: int


@dataclass(frozen=True, slots=True)
class RolloutWritten:
    """Log what became of a write of a roll-out's step or status."""

    service: str
    version: str
    step: int
    state: str
    outcome: str


@dataclass(frozen=True, slots=True)
class RequestSuspected:
    """Log that a request was running when its engine crashed."""

    engine: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class PeerSeen:
    """Log a host of the fleet that is now known."""

    host: str
    address: str
    hosts: int


@dataclass(frozen=True, slots=True)
class PeerGone:
    """Log a host that is no longer listed."""

    host: str
    hosts: int


@dataclass(frozen=True, slots=True)
class MembershipFailed:
    """Log that this host isn't listed for its peers."""

    reason: str


@dataclass(frozen=True, slots=True)
class LinesLeftOut:
    """Log how many lines were left out to bound the volume."""

    lines: int
    period_s: float
