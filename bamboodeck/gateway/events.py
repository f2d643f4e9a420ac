"""Define the gateway's log events, which are named after their classes."""

import msgspec


class GatewayStarted(msgspec.Struct, frozen=True):
    """Log that the process is listening."""

    host: str
    zone: str
    callers: str
    ready: str
    peers: str
    metrics: str
    store: str
    start_ms: float


class GatewayStopping(msgspec.Struct, frozen=True):
    """Log that the process will soon stop accepting connections."""

    running: int
    waiting: int
    grace_s: float


class GatewayStopped(msgspec.Struct, frozen=True):
    """Log that the process exits, with the number of aborted answers."""

    broken_off: int
    ran_s: float


class SettingsReloaded(msgspec.Struct, frozen=True):
    """Log that the settings file was read again."""

    cause: str
    changed: bool


class SettingsRefused(msgspec.Struct, frozen=True):
    """Log that a changed settings file is invalid and was ignored."""

    faults: str


class StoreLost(msgspec.Struct, frozen=True):
    """Log that the store doesn't answer; the known state stays in force."""

    reason: str
    revision: int
    age_s: float


class StoreCallFailed(msgspec.Struct, frozen=True):
    """Log a failed call to the store, and the delay before the next one."""

    reason: str
    failures: int
    took_s: float
    next_s: float
    age_s: float


class StoreRegained(msgspec.Struct, frozen=True):
    """Log that the store answers again."""

    revision: int
    away_s: float
    # Time left for engines that are missing to be listed again; 0 if the store
    # served other hosts, or was away too briefly for entries to lapse.
    relist_s: float


class StoreHistoryLost(msgspec.Struct, frozen=True):
    """Log that the store doesn't have the changes since a revision."""

    revision: int
    # Of the answer, if there is one.
    era: int
    # Whether the changes are too many for an answer.
    too_large: bool


class StoreRestored(msgspec.Struct, frozen=True):
    """Log that the store was restored from a copy, and is read anew."""

    era: int
    revision: int
    known_era: int
    known_revision: int


class StoreAnswerIgnored(msgspec.Struct, frozen=True):
    """Log an answer of the store that is older than the known state."""

    revision: int
    era: int
    known_revision: int
    known_era: int


class EngineHeldBack(msgspec.Struct, frozen=True):
    """Log an engine that a restored store lists, but that had left before."""

    engine: str
    revision: int
    left_s: float


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
    """Log an unreadable document of the store."""

    key: str
    revision: int
    reason: str


class EngineListed(msgspec.Struct, frozen=True):
    """Log a changed registry entry of an engine."""

    engine: str
    service: str
    address: str
    zone: str
    version: str
    state: str
    started_unix_ms: int
    revision: int


class EngineGone(msgspec.Struct, frozen=True):
    """Log that an engine is no longer listed, and why."""

    engine: str
    reason: str
    revision: int


class EnginePaused(msgspec.Struct, frozen=True):
    """Log that an engine was unreachable or stopped responding."""

    engine: str
    reason: str
    pause_s: float
    requests: int


class EngineBack(msgspec.Struct, frozen=True):
    """Log that a paused engine answers again."""

    engine: str


class RequestDenied(msgspec.Struct, frozen=True):
    """Log the configuration that has no route or key for a request."""

    request_id: str
    status: int
    reason: str
    host: str
    path: str
    configuration: int
    registry_age_s: float


class RefusalWithheld(msgspec.Struct, frozen=True):
    """Log a refusal of a request that may run, which is a fault."""

    request_id: str
    status: int
    reason: str


class RequestPlaced(msgspec.Struct, frozen=True):
    """Log the engine chosen for a request, and the reasons."""

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


class AnswerJudged(msgspec.Struct, frozen=True):
    """Log whether an answer is accepted or escalated to a larger model."""

    request_id: str
    engine: str
    model: str
    confidence: int
    left_ms: float
    larger_ms: float
    decision: str


class AttemptFailed(msgspec.Struct, frozen=True):
    """Log an attempt without a complete answer, and the decision on it."""

    request_id: str
    engine: str
    cause: str
    reason: str
    status: int
    after_ms: float
    attempt: int
    sequel: str
    # The parts of the prompt, if the engine may have crashed on one of them.
    parts: str = ''


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
    """Log an operator's order for a roll-out.

    Earlier roll-outs have left the withdrawn versions behind.
    """

    service: str
    version: str
    duration_s: float
    revision: int
    withdrawn: str


class RolloutMoved(msgspec.Struct, frozen=True):
    """Log a changed step or state of a roll-out."""

    service: str
    version: str
    step: int
    state: str
    revision: int


class RolloutJudged(msgspec.Struct, frozen=True):
    """Log that a version is bad by the evidence of all hosts."""

    service: str
    version: str
    new_answers: int
    new_failed: int
    # Counts by ratio of observed to predicted time, as in `SLOW_RATIOS`.
    new_slow: str
    old_answers: int
    old_failed: int
    old_slow: str
    reason: str


class RolloutProgress(msgspec.Struct, frozen=True):
    """Log what this host sent and what the fleet knows of a version on trial.

    The first two counts are this host's requests since the order.
    """

    service: str
    version: str
    step: int
    requests: int
    trial_requests: int
    new_answers: int
    new_failed: int
    old_answers: int
    old_failed: int
    verdict: str
    reason: str


class TrialAnswered(msgspec.Struct, frozen=True):
    """Log an answer of a version on trial, and the load of its engine.

    The load is the requests of all hosts known to run there before this one.
    """

    service: str
    version: str
    engine: str
    route: str
    load: int
    failed: bool
    time_ratio: float


class RolloutWritten(msgspec.Struct, frozen=True):
    """Log the result of writing a roll-out's step or status."""

    service: str
    version: str
    step: int
    state: str
    outcome: str


class RequestSuspected(msgspec.Struct, frozen=True):
    """Log that a request was running when its engine crashed."""

    engine: str
    fingerprint: str
    # What showed the crash: `refused`, `misdirected` or `replaced`.
    evidence: str


class PartsSuspected(msgspec.Struct, frozen=True):
    """Log the prompt parts of a request whose engine broke off.

    Parts that an engine has answered are left out.
    """

    request_id: str
    engine: str
    parts: str


class PartBlamed(msgspec.Struct, frozen=True):
    """Log that requests with a prompt part are refused from now on."""

    part: str
    engines: str


class PartListingFailed(msgspec.Struct, frozen=True):
    """Log that listing a blamed part in the store failed."""

    part: str
    reason: str


class PeerSeen(msgspec.Struct, frozen=True):
    """Log that a host of the fleet was listed."""

    host: str
    address: str
    hosts: int


class PeerGone(msgspec.Struct, frozen=True):
    """Log that a host is no longer listed."""

    host: str
    hosts: int


class MembershipFailed(msgspec.Struct, frozen=True):
    """Log that listing this host for its peers failed."""

    reason: str


class LinesLeftOut(msgspec.Struct, frozen=True):
    """Log the number of lines dropped to bound the log volume."""

    lines: int
    period_s: float
