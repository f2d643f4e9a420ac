"""Withdraw a version fleet-wide when several nodes have blocked it."""

from dataclasses import dataclass, replace

from bamboodeck.rollout.state import WithdrawVersion


@dataclass(frozen=True, slots=True)
class NodeSuspicion:
    """Report that a node has blocked a version."""

    node: str
    version: str
    signal: str
    suspected_s: float


@dataclass(frozen=True, slots=True)
class ClearSuspicion:
    """Discard the suspicions against a version that an operator cleared."""

    version: str


@dataclass(frozen=True, slots=True)
class SuspicionRules:
    """Set how many nodes must agree within which time window."""

    min_nodes: int = 2
    window_s: float = 600.0


@dataclass(frozen=True, slots=True)
class SuspicionState:
    """Keep recent suspicions in memory only, as nodes repeat them."""

    rules: SuspicionRules = SuspicionRules()
    suspicions: tuple[NodeSuspicion, ...] = ()


@dataclass(frozen=True, slots=True)
class WarnOfCommonCause:
    """Warn operators that several versions are suspected at once."""

    signal: str
    versions: tuple[str, ...]


SuspicionEffect = WithdrawVersion | WarnOfCommonCause
SuspicionEffects = tuple[SuspicionEffect, ...]


def judge_suspicion(
    state: SuspicionState,
    message: NodeSuspicion | ClearSuspicion,
    now_s: float,
) -> tuple[SuspicionState, SuspicionEffects]:
    """Return the next state and the effects to execute.

    Neither the alarm of a single node nor a signal that looks bad in several
    versions leads to a withdrawal.
    """
    if isinstance(message, ClearSuspicion):
        kept = tuple(
            each for each in state.suspicions if each.version != message.version
        )
        return replace(state, suspicions=kept), ()
    state = _add(state, message, now_s)
    versions = {
        each.version
        for each in state.suspicions
        if each.signal == message.signal
    }
    if len(versions) > 1:
        warning = WarnOfCommonCause(message.signal, tuple(sorted(versions)))
        return state, (warning,)
    nodes = {
        each.node
        for each in state.suspicions
        if each.version == message.version
    }
    if len(nodes) < state.rules.min_nodes:
        return state, ()
    reason = f'{message.signal} turned bad on {len(nodes)} nodes'
    return state, (WithdrawVersion('', message.version, reason),)


def _add(
    state: SuspicionState,
    message: NodeSuspicion,
    now_s: float,
) -> SuspicionState:
    kept = [
        each
        for each in state.suspicions
        if now_s - each.suspected_s < state.rules.window_s
        and (each.node, each.version) != (message.node, message.version)
    ]
    return replace(state, suspicions=(*kept, message))
