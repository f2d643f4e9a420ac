"""Collect the decisions on a request from all entry hosts."""

import itertools
from dataclasses import dataclass

from bamboodeck.admin.messages import DecisionRow, ExplainView
from bamboodeck.admin.view import OnExplained
from bamboodeck.entry.decisions import DecisionHistory
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import (
    ExplainedDecision,
    ExplainFound,
    ExplainWanted,
)

COLLECT_TIMEOUT_S = 0.5


@dataclass(slots=True)
class _PendingQuery:
    request_id: str
    on_explained: OnExplained
    decisions: list[ExplainedDecision]


class Explainer:
    """Query the entry hosts and collect answers until a timeout."""

    def __init__(
        self,
        decisions: DecisionHistory,
        link: PeerLink,
        fleet: FleetMap,
        scheduler: Scheduler,
    ) -> None:
        """Answer the queries of peers from the local history."""
        self._decisions = decisions
        self._link = link
        self._fleet = fleet
        self._scheduler = scheduler
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingQuery] = {}
        link.on(ExplainWanted, self._on_wanted)
        link.on(ExplainFound, self._on_found)

    def explain(self, request_id: str, on_explained: OnExplained) -> None:
        """Call back with the decisions on a request, or None."""
        number = next(self._numbers)
        self._pending[number] = _PendingQuery(
            request_id,
            on_explained,
            list(self._decisions.explain(request_id)),
        )
        for peer in self._fleet.entries():
            self._link.send(peer, ExplainWanted(request_id, number))
        self._scheduler.call_after(
            COLLECT_TIMEOUT_S, lambda: self._finish(number)
        )

    def _on_wanted(self, sender: str, wanted: ExplainWanted) -> None:
        decisions = self._decisions.explain(wanted.request_id)
        if decisions:
            self._link.send(sender, ExplainFound(wanted.question, decisions))

    def _on_found(self, sender: str, found: ExplainFound) -> None:
        query = self._pending.get(found.question)
        if query is not None:
            query.decisions.extend(found.decisions)

    def _finish(self, number: int) -> None:
        query = self._pending.pop(number)
        if not query.decisions:
            query.on_explained(None)
            return
        rows = sorted(
            (
                DecisionRow(
                    each.decided_s,
                    each.node,
                    each.event,
                    each.version,
                    each.reason,
                    each.detail,
                )
                for each in query.decisions
            ),
            key=lambda row: row.decided_s,
        )
        query.on_explained(ExplainView(query.request_id, tuple(rows)))
