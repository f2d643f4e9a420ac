"""Collect the costs, scores and latencies of a run."""

from collections import Counter
from dataclasses import dataclass, field

QUALITY_TARGET_MARGIN = 0.005

_PartKey = tuple[str, str, str]


@dataclass(frozen=True)
class CustomerOutcome:
    """Compare a customer's mean score with its quality target."""

    name: str
    answers: int
    mean_score: float
    quality_target: float
    cost_credits: float

    @property
    def met(self) -> bool:
        """Return whether the target was met, within a small margin."""
        return self.mean_score >= self.quality_target - QUALITY_TARGET_MARGIN


@dataclass(frozen=True)
class CostPart:
    """Store the cost of all attempts of one class, version and role."""

    request_class: str
    version: str
    role: str
    attempts: int
    cost_credits: float


@dataclass(frozen=True)
class Outcome:
    """Store the results of one run."""

    workload: str
    policy: str
    seed: int
    requests: int
    answered: int
    refused: int
    failed: int
    cost_credits: float
    mean_score: float
    targets_met: int
    targets: int
    worst_gap: float
    exposed_weight: float
    cascaded: int
    replaced: int
    in_deadline: int
    first_token_p50_s: float
    first_token_p95_s: float
    answer_p95_s: float
    versions: dict[str, int]
    refusals: dict[str, int]
    withdrawn_s: dict[str, float]
    customers: tuple[CustomerOutcome, ...]
    parts: tuple[CostPart, ...] = ()


@dataclass
class Tally:
    """Accumulate the results of a run."""

    targets: dict[str, float]
    requests: int = 0
    refused: int = 0
    failed: int = 0
    cost_credits: float = 0.0
    exposed_weight: float = 0.0
    cascaded: int = 0
    replaced: int = 0
    in_deadline: int = 0
    first_token_times_s: list[float] = field(default_factory=list)
    answer_times_s: list[float] = field(default_factory=list)
    versions: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    withdrawn_s: dict[str, float] = field(default_factory=dict)
    scores: dict[str, list[float]] = field(default_factory=dict)
    costs: Counter[str] = field(default_factory=Counter)
    part_counts: Counter[_PartKey] = field(default_factory=Counter)
    part_costs: Counter[_PartKey] = field(default_factory=Counter)

    def add_cost(self, customer: str, cost_credits: float) -> None:
        """Add the cost of an attempt."""
        self.cost_credits += cost_credits
        self.costs[customer] += cost_credits

    def add_cost_part(
        self,
        request_class: str,
        version: str,
        role: str,
        cost_credits: float,
    ) -> None:
        """Add the cost of an attempt to the breakdown."""
        part = (request_class, version, role)
        self.part_counts[part] += 1
        self.part_costs[part] += cost_credits

    def add_answer(
        self,
        customer: str,
        version: str,
        score: float,
        first_token_s: float,
        answer_s: float,
    ) -> None:
        """Record an answer that was delivered to its caller."""
        self.versions[version] += 1
        self.scores.setdefault(customer, []).append(score)
        self.first_token_times_s.append(first_token_s)
        self.answer_times_s.append(answer_s)

    def finish(self, workload: str, policy: str, seed: int) -> Outcome:
        """Return the results of the run."""
        customers = tuple(
            self._summarise_customer(name) for name in sorted(self.scores)
        )
        scores = [score for each in self.scores.values() for score in each]
        return Outcome(
            workload=workload,
            policy=policy,
            seed=seed,
            requests=self.requests,
            answered=len(scores),
            refused=self.refused,
            failed=self.failed,
            cost_credits=self.cost_credits,
            mean_score=sum(scores) / max(len(scores), 1),
            targets_met=sum(each.met for each in customers),
            targets=len(customers),
            worst_gap=min(
                (each.mean_score - each.quality_target for each in customers),
                default=0,
            ),
            exposed_weight=self.exposed_weight,
            cascaded=self.cascaded,
            replaced=self.replaced,
            in_deadline=self.in_deadline,
            first_token_p50_s=percentile(self.first_token_times_s, 0.5),
            first_token_p95_s=percentile(self.first_token_times_s, 0.95),
            answer_p95_s=percentile(self.answer_times_s, 0.95),
            versions=dict(self.versions),
            refusals=dict(self.refusals),
            withdrawn_s=self.withdrawn_s,
            customers=customers,
            parts=tuple(
                CostPart(*part, self.part_counts[part], cost_credits)
                for part, cost_credits in sorted(self.part_costs.items())
            ),
        )

    def _summarise_customer(self, name: str) -> CustomerOutcome:
        scores = self.scores[name]
        return CustomerOutcome(
            name,
            len(scores),
            sum(scores) / len(scores),
            self.targets[name],
            self.costs[name],
        )


def percentile(numbers: list[float], share: float) -> float:
    """Return the number below which a share (0 to 1) of the numbers lies."""
    if not numbers:
        return 0
    ranked = sorted(numbers)
    return ranked[min(int(share * len(ranked)), len(ranked) - 1)]
