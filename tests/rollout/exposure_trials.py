"""Simulate the exposure to a roll-out on six nodes.

`python -m tests.rollout.exposure_trials` prints the figures.
"""

import heapq
import itertools
import random
import statistics
from dataclasses import dataclass

from bamboodeck.rollout.decisions import decide
from bamboodeck.rollout.evidence import AnswerOutcome, find_shortfall
from bamboodeck.rollout.gate import (
    DEFAULT_UNRATED_FRACTION,
    NodeShare,
    RolloutGate,
)
from bamboodeck.rollout.state import (
    AcceptEvidence,
    GrantShare,
    Phase,
    ReportEvidence,
    RequestShare,
    RolloutRules,
    StartRollout,
    Tick,
)
from tests.rollout.trials import BEHAVIOURS, Behaviour

VERSION = 'plan@2'
NODES = tuple(f'n{index}' for index in range(6))
BOUND = 500.0
REQUESTS_PER_S = 5
RATING_DELAY_S = 5.0
PLAN_WEIGHT = 25.0
PLAN_SHARE = 0.05
END_S = 1200


@dataclass(frozen=True)
class Exposure:
    """Report the exposed weight, and how and when a roll-out ended."""

    admitted_weight: float
    risked_weight: float
    phase: Phase
    ended_s: int


class ExposureTrial:
    """Run a roll-out on six nodes, each a holder of its own."""

    def __init__(
        self,
        behaviour: Behaviour,
        seed: int,
        unrated_fraction: float = DEFAULT_UNRATED_FRACTION,
    ) -> None:
        """Start the roll-out."""
        self._behaviour = behaviour
        self._rng = random.Random(seed)
        self._gates = {node: RolloutGate(5, unrated_fraction) for node in NODES}
        for node, gate in self._gates.items():
            gate.set_share(NodeShare('r1', VERSION, 0))
            gate.mark_fresh(0)
        self._ratings: list = []
        self._order = itertools.count()
        self._unsent: dict[str, list[AnswerOutcome]] = {
            node: [] for node in NODES
        }
        self._sequences = dict.fromkeys(NODES, 0)
        start = StartRollout('r1', VERSION, RolloutRules(BOUND))
        self._state = decide(None, start, 0)[0]

    def run(self) -> Exposure:
        """Run until the roll-out ends."""
        for now_s in range(END_S):
            self._serve(now_s)
            self._report(now_s)
            self._tick(now_s)
            if self._state.phase is not Phase.RUNNING:
                break
        gates = self._gates.values()
        return Exposure(
            sum(gate.admitted_weight(VERSION) for gate in gates),
            sum(gate.risked_weight(VERSION) for gate in gates),
            self._state.phase,
            now_s,
        )

    def _serve(self, now_s: int) -> None:
        for node, gate in self._gates.items():
            gate.mark_fresh(now_s)
            for _ in range(REQUESTS_PER_S):
                plan = self._rng.random() < PLAN_SHARE
                weight = PLAN_WEIGHT if plan else 1.0
                if not gate.admit(VERSION, weight, now_s):
                    continue
                outcome = self._behaviour.draw(self._rng)
                due_s = now_s + RATING_DELAY_S
                rated = (due_s, next(self._order), node, weight, outcome)
                heapq.heappush(self._ratings, rated)

    def _report(self, now_s: int) -> None:
        while self._ratings and self._ratings[0][0] <= now_s:
            node, weight, outcome = heapq.heappop(self._ratings)[2:]
            shortfall = find_shortfall(outcome)
            self._gates[node].record_rating('r1', VERSION, weight, shortfall)
            self._unsent[node].append(outcome)
        for node, outcomes in self._unsent.items():
            wanted = self._gates[node].wanted_weight(VERSION, 5)
            self._decide(RequestShare('r1', node, wanted), now_s)
            if not outcomes:
                continue
            report = ReportEvidence(
                'r1',
                node,
                self._sequences[node] + 1,
                tuple(outcomes),
            )
            self._decide(report, now_s)

    def _tick(self, now_s: int) -> None:
        for effect in self._decide(Tick(), now_s):
            match effect:
                case GrantShare(holder=holder, granted_weight=granted):
                    share = NodeShare('r1', VERSION, granted)
                    self._gates[holder].set_share(share)
                case AcceptEvidence(holder=holder, sequence=sequence):
                    self._accept(holder, sequence)

    def _accept(self, holder: str, sequence: int) -> None:
        if sequence > self._sequences[holder]:
            self._sequences[holder] = sequence
            self._unsent[holder] = []

    def _decide(self, message, now_s: int):
        state, effects = decide(self._state, message, now_s)
        self._state = state
        return effects


def main() -> None:
    """Print the exposed weight with and without the bound on unrated weight."""
    for name, behaviour in BEHAVIOURS.items():
        for fraction in (DEFAULT_UNRATED_FRACTION, 1.0):
            found = [
                ExposureTrial(behaviour, seed, fraction).run()
                for seed in range(50)
            ]
            admitted = sorted(each.admitted_weight for each in found)
            risked = sorted(each.risked_weight for each in found)
            ended_s = statistics.median(each.ended_s for each in found)
            phases = {
                phase.value: sum(each.phase is phase for each in found)
                for phase in Phase
            }
            print(  # noqa: WPS421
                f'{name}, unrated fraction {fraction}: admitted median',
                f'{statistics.median(admitted):.0f} worst {admitted[-1]:.0f},',
                f'risked median {statistics.median(risked):.0f}',
                f'worst {risked[-1]:.0f} of {BOUND:.0f},',
                f'ended after {ended_s:.0f} s',
                phases,
            )


if __name__ == '__main__':
    main()
