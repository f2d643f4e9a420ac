"""Run suspected requests on an engine one at a time.

One entry host is the arbiter of an engine. All hosts with the same settings
choose the same arbiter without exchanging messages, so a partition or a lost
message can't lead to two arbiters.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

TRIAL_LEASE_S = 3.0


@dataclass(frozen=True, slots=True)
class Trial:
    """Identify a suspected request, its engine and its sending node."""

    engine: str
    fingerprint: str
    holder: str


def choose_arbiter(engine: str, nodes: Iterable[str]) -> str:
    """Return the node with the highest rendezvous hash for an engine."""
    return max(
        nodes,
        key=lambda node: (
            xxhash.xxh64_intdigest(f'{engine} {node}'.encode()),
            node,
        ),
    )


class TrialLeases:
    """Lease an engine to one suspected request at a time.

    A lease expires `TRIAL_LEASE_S` after its last renewal. A new table grants
    nothing for as long, until the running trials have been reported. Times are
    monotonic seconds.
    """

    def __init__(self, opened_s: float) -> None:
        """Start without leases."""
        self._grants_from_s = opened_s + TRIAL_LEASE_S
        self._leases: dict[str, dict[Trial, float]] = {}

    def acquire(self, trial: Trial, now_s: float) -> bool:
        """Lease an engine unless another suspected request may run there."""
        if now_s < self._grants_from_s:
            return False
        for other, expires_s in self._leases.get(trial.engine, {}).items():
            if expires_s > now_s and other.fingerprint != trial.fingerprint:
                return False
        self.renew(trial, now_s)
        return True

    def renew(self, trial: Trial, now_s: float) -> None:
        """Record or renew the lease of a running trial, granted or not."""
        trials = self._leases.setdefault(trial.engine, {})
        trials[trial] = now_s + TRIAL_LEASE_S

    def release(self, trial: Trial) -> None:
        """Release the lease of a trial that has ended."""
        trials = self._leases.get(trial.engine, {})
        trials.pop(trial, None)
        if not trials:
            self._leases.pop(trial.engine, None)

    def evict_expired(self, now_s: float) -> None:
        """Evict the leases that have expired."""
        for trials in list(self._leases.values()):
            for trial, expires_s in list(trials.items()):
                if expires_s <= now_s:
                    self.release(trial)
