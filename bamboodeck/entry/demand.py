"""Measure the demand for versions and report it to the zone's holder."""

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
MAX_SILENCE_S = 30.0
# Smaller changes wait for the next report that is due by time.
TOLERANCE = 0.2
MIN_CHANGE = 0.05
MAX_ROWS = 32
STREAM_WINDOW_S = 60.0
SESSION_WINDOW_S = 600.0


@dataclass(slots=True)
class _Fading:
    window_s: float
    total: float = 0.0
    seen_s: float = 0.0

    def add(self, amount: float, now_s: float) -> float:
        """Add to what hasn't faded yet and return the sum."""
        faded = math.exp((self.seen_s - now_s) / self.window_s)
        self.total = self.total * faded + amount
        self.seen_s = now_s
        return self.total


@dataclass(frozen=True, slots=True)
class _Sent:
    relays: tuple[str, ...]
    rows: tuple[VersionDemandRow, ...]
    sent_s: float

    def differs(self, former: '_Sent') -> bool:
        """Tell whether a report is due after a former one."""
        if self.relays != former.relays:
            return True
        if self.sent_s - former.sent_s >= MAX_SILENCE_S:
            return True
        known = {row.version: row for row in former.rows}
        return any(_is_news(row, known.get(row.version)) for row in self.rows)


class VersionDemand:
    """Count the time on engines that each decision asks for, by version.

    A refused request counts for the version that it would have run on.
    """

    def __init__(
        self,
        link: PeerLink,
        scheduler: Scheduler,
        relays: Callable[[], tuple[str, ...]],
    ) -> None:
        """Report regularly."""
        self._link = link
        self._scheduler = scheduler
        self._relays = relays
        self._stream_s: dict[str, _Fading] = {}
        self._sessions: dict[str, _Fading] = {}
        self._sent: _Sent | None = None
        scheduler.call_every(REPORT_PERIOD_S, self.report)

    def on_decided(
        self,
        request: RouteRequest,
        eligible: EligibleVersions,
        decision: RouteDecision,
    ) -> None:
        """Count a decision."""
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
        """Tell the zone's holder the demand if it has changed."""
        sent = _Sent(self._relays(), self.rows(), self._scheduler.now_s())
        if self._sent is not None and not sent.differs(self._sent):
            return
        self._sent = sent
        report = VersionDemandReported(sent.rows)
        for relay in sent.relays:
            self._link.send(relay, report)

    def rows(self) -> tuple[VersionDemandRow, ...]:
        """Return the demand for each version, the largest first."""
        now_s = self._scheduler.now_s()
        rows = []
        for version, fading in self._stream_s.items():
            sessions = self._sessions.get(version)
            rows.append(
                VersionDemandRow(
                    version,
                    round(fading.add(0, now_s) / STREAM_WINDOW_S, 3),
                    round(sessions.add(0, now_s), 3) if sessions else 0.0,
                ),
            )
        rows.sort(key=_rank)
        return tuple(rows[:MAX_ROWS])

    def _add(
        self,
        fadings: dict[str, _Fading],
        window_s: float,
        version: str,
        amount: float,
        now_s: float,
    ) -> None:
        fading = fadings.setdefault(version, _Fading(window_s))
        fading.add(amount, now_s)


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
        # The first attempt has been counted.
        return None
    target = request.customer.quality_target
    good = [each for each in models if each.expected_quality >= target]
    return min(good or models, key=_price, default=None)


def _is_news(row: VersionDemandRow, known: VersionDemandRow | None) -> bool:
    if known is None:
        return True
    return _differ(row.streams, known.streams) or _differ(
        row.sessions,
        known.sessions,
    )


def _differ(amount: float, known: float) -> bool:
    change = abs(amount - known)
    return change > max(TOLERANCE * max(amount, known), MIN_CHANGE)


def _price(model: Model) -> float:
    return model.output_credits_per_mtoken


def _rank(row: VersionDemandRow) -> tuple[float, str]:
    return -row.streams, row.version
