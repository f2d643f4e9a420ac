"""Provide the administration API with the state of an entry host."""

import math

from bamboodeck.admin.messages import (
    BillRow,
    BillsView,
    CreditsRow,
    NodeStatus,
    PlacementRow,
    RolloutRow,
)
from bamboodeck.admin.view import OnBills, OnExplained
from bamboodeck.billing.messages import BillReport, BillTotal
from bamboodeck.billing.report import read_bills
from bamboodeck.configuration.model import Model
from bamboodeck.keyvalue.port import StoreUnavailable
from bamboodeck.peers.fleet import KnownNode
from bamboodeck.peers.messages import RolloutNews
from bamboodeck.rollout.state import Phase


class EntryView:
    """Read the rows of the administration API from the process."""

    def __init__(self, app) -> None:
        """Read from the components of an app."""
        self.node = app.settings.node
        self.zone = app.settings.zone
        self._app = app

    def status_rows(self) -> tuple[NodeStatus, ...]:
        """Return a row for each known node, including silent ones."""
        known = self._app.fleet_view.known_nodes()
        return (
            self._describe_self(),
            *(_describe(each) for each in known if each.node.node != self.node),
        )

    def rollout_rows(self) -> tuple[RolloutRow, ...]:
        """Return current roll-outs and how the latest ones ended."""
        configuration = self._app.replica.configuration
        models = configuration.models_by_name if configuration else {}
        return tuple(
            _describe_rollout(news, models.get(news.version))
            for news in self._app.control_plane.rollouts.shares.rollouts
        )

    def placement_rows(self) -> tuple[PlacementRow, ...]:
        """Return the engines and the versions loaded on them."""
        if self._app.router is None:
            return ()
        now_s = self._app.loop.scheduler.now_s()
        rows = [
            PlacementRow(
                slot.name,
                slot.engine.zone,
                slot.engine.slots,
                slot.versions,
                slot.usable(now_s),
            )
            for slot in self._app.router.tracked_engines()
        ]
        rows.sort(key=lambda row: (row.zone, row.engine))
        return tuple(rows)

    def credits_rows(self) -> tuple[CreditsRow, ...]:
        """Return the credits of each provider."""
        return tuple(
            CreditsRow(
                each.provider,
                each.credits,
                each.spent_credits,
                each.credits - each.spent_credits,
                each.expires_s,
                each.credit_price,
            )
            for each in self._app.control_plane.credits.latest.providers
        )

    def read_bills(self, customer: str, on_bills: OnBills) -> None:
        """Read the bills of a customer, or of all if `customer` is empty."""
        wall_s = self._app.environment.wall_s()

        def on_report(report: BillReport | StoreUnavailable) -> None:
            match report:
                case BillReport(bills):
                    on_bills(_build_bills(bills, customer, wall_s))
                case StoreUnavailable():
                    on_bills(None)

        read_bills(self._app.store, wall_s, on_report)

    def explain(self, request_id: str, on_explained: OnExplained) -> None:
        """Call back with the decisions on a request, or None."""
        self._app.explainer.explain(request_id, on_explained)

    def _describe_self(self) -> NodeStatus:
        replica = self._app.replica
        age_s = replica.age_s(self._app.loop.scheduler.now_s())
        return NodeStatus(
            self.node,
            self.zone,
            'entry',
            replica.revision,
            _finite(age_s),
            0,
            'stopping' if self._app.stopping else 'serving',
        )


def _describe(known: KnownNode) -> NodeStatus:
    return NodeStatus(
        known.node.node,
        known.node.zone,
        known.node.role.value,
        known.revision,
        _finite(known.fresh_age_s),
        _finite(known.report_age_s),
        'stopping' if known.stopping else 'serving',
    )


def _describe_rollout(news: RolloutNews, model: Model | None) -> RolloutRow:
    stage = f'{news.stage + 1} of {news.stage_count}'
    if news.phase != Phase.RUNNING.value:
        stage = f'{news.phase}: {news.reason}'
    return RolloutRow(
        news.version,
        model.rollout_baseline if model else '',
        news.granted_weight,
        model.rollout_max_exposed_weight if model else 0,
        stage,
    )


def _finite(age_s: float) -> float | None:
    return None if math.isinf(age_s) else round(age_s, 3)


def _build_bills(
    totals: tuple[BillTotal, ...],
    customer: str,
    as_of_s: float,
) -> BillsView:
    rows: dict[str, BillRow] = {}
    for total in totals:
        if customer and total.customer != customer:
            continue
        known = rows.get(total.customer, BillRow(total.customer, 0, 0, 0, 0))
        rows[total.customer] = BillRow(
            total.customer,
            known.requests + total.requests,
            known.input_tokens + total.input_tokens,
            known.output_tokens + total.output_tokens,
            known.charged_credits + total.price_credits,
        )
    return BillsView(as_of_s, tuple(rows[name] for name in sorted(rows)))
