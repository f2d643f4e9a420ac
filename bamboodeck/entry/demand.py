"""Measure the demand for versions and report it to the zone's relays."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.configuration.model import Model
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import VersionDemandReported, VersionDemandRow
from bamboodeck.routing.eligibility import EligibleVersions
from bamboodeck.routing.messages import (
    RouteChosen,
    RouteDecision,
    RouteRequest,
)

# A row takes about 30 bytes, and 52 nodes of a zone may report to one holder.
REPORT_PERIOD_S = 5.0
MAX_REPORT_INTERVAL_S = 30.0
# Smaller changes are sent with the next report due by time.
RELATIVE_TOLERANCE = 0.2
MIN_CHANGE = 0.05
MAX_ROWS = 32
STREAM_WINDOW_S = 60.0
SESSION_WINDOW_S = 600.0


@dataclass(slots=True)
class _DecayingSum:
    window_s: float
    total: float = 0.0
    seen_s: float = 0.0

    def add(self, amount: float, now_s: float) -> float:
        """Add to the exponentially decayed sum and return it."""
        decay = math.exp((self.seen_s - now_s) / self.window_s)
        self.total = self.total * decay + amount
        self.seen_s = now_s
        return self.total


@dataclass(frozen=True, slots=True)
class _SentReport:
    relays: tuple[str, ...]
    rows: tuple[VersionDemandRow, ...]
    sent_s: float

    def is_due_after(self, former: '_SentReport') -> bool:
        """Return whether this report should be sent after `former`."""
        if self.relays != former.relays:
            return True
        if self.sent_s - former.sent_s >= MAX_REPORT_INTERVAL_S:
            return True
        known = {row.version: row for row in former.rows}
        return any(
            _has_changed(row, known.get(row.version)) for row in self.rows
        )


class VersionDemand:
    """Sum the engine time and sessions that decisions ask for, by version.

    A refused request counts towards the version it would have run on.
    """

    def __init__(
        self,
        link: PeerLink,
        scheduler: Scheduler,
        relays: Callable[[], tuple[str, ...]],
    ) -> None:
        """Report periodically to the relays that `relays` returns."""
        self._link = link
        self._scheduler = scheduler
        self._relays = relays
        self._stream_s: dict[str, _DecayingSum] = {}
        self._sessions: dict[str, _DecayingSum] = {}
        self._sent: _SentReport | None = None
        scheduler.call_every(REPORT_PERIOD_S, self.report)

    def on_decided(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        decision: RouteDecision,
    ) -> None:
        """Add the expected engine time of a decision."""
        model = _find_model(request, eligible, decision)
        if model is None:
            return
        now_s = self._scheduler.now_s()
        tokens = request.request_class.expected_output_tokens
        run_s = model.first_token_s + tokens / model.tokens_per_s
        self._add(self._stream_s, STREAM_WINDOW_S, model.name, run_s, now_s)
        if request.opens_session or request.session_version:
            self._add(self._sessions, SESSION_WINDOW_S, model.name, 1, now_s)

    def report(self) -> None:
        """Send the demand to the relays if a report is due."""
        sent = _SentReport(self._relays(), self.rows(), self._scheduler.now_s())
        if self._sent is not None and not sent.is_due_after(self._sent):
            return
        self._sent = sent
        report = VersionDemandReported(sent.rows)
        for relay in sent.relays:
            self._link.send(relay, report)

    def rows(self) -> tuple[VersionDemandRow, ...]:
        """Return the demand of each version, largest first."""
        now_s = self._scheduler.now_s()
        rows = []
        for version, decaying in self._stream_s.items():
            sessions = self._sessions.get(version)
            rows.append(
                VersionDemandRow(
                    version,
                    round(decaying.add(0, now_s) / STREAM_WINDOW_S, 3),
                    round(sessions.add(0, now_s), 3) if sessions else 0.0,
                ),
            )
        rows.sort(key=_rank)
        return tuple(rows[:MAX_ROWS])

    def _add(
        self,
        sums: dict[str, _DecayingSum],
        window_s: float,
        version: str,
        amount: float,
        now_s: float,
    ) -> None:
        decaying = sums.setdefault(version, _DecayingSum(window_s))
        decaying.add(amount, now_s)


def _find_model(
    request: RouteRequest,
    eligible: EligibleVersions,
    decision: RouteDecision,
) -> Model | None:
    models = (*eligible.steady, *eligible.rollouts)
    if isinstance(decision, RouteChosen):
        chosen = [each for each in models if each.name == decision.version]
        return chosen[0] if chosen else None
    if request.attempt:
        # A refused retry was already counted at its first attempt.
        return None
    target = request.customer.quality_target
    good = [each for each in models if each.expected_quality >= target]
    return min(good or models, key=_price, default=None)


def _has_changed(row: VersionDemandRow, known: VersionDemandRow | None) -> bool:
    if known is None:
        return True
    return _differs(row.streams, known.streams) or _differs(
        row.sessions,
        known.sessions,
    )


def _differs(amount: float, known: float) -> bool:
    change = abs(amount - known)
    return change > max(RELATIVE_TOLERANCE * max(amount, known), MIN_CHANGE)


def _price(model: Model) -> float:
    return model.output_credits_per_mtoken


def _rank(row: VersionDemandRow) -> tuple[float, str]:
    return -row.streams, row.version
