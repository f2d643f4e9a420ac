"""Define the state of a node that the administration API reads."""

from collections.abc import Callable
from typing import Protocol

from bamboodeck.admin.messages import (
    BillsView,
    CreditsRow,
    ExplainView,
    NodeStatus,
    PlacementRow,
    RolloutRow,
)

OnBills = Callable[[BillsView | None], None]
OnExplained = Callable[[ExplainView | None], None]


class NodeView(Protocol):
    """Provide the state of the running system to the administration API."""

    node: str
    zone: str

    def status_rows(self) -> tuple[NodeStatus, ...]:
        """Return a row for every known node, even if it never reported."""

    def rollout_rows(self) -> tuple[RolloutRow, ...]:
        """Return the versions in roll-out."""

    def placement_rows(self) -> tuple[PlacementRow, ...]:
        """Return the engines and the versions loaded on them."""

    def credits_rows(self) -> tuple[CreditsRow, ...]:
        """Return the credits of each provider."""

    def read_bills(self, customer: str, on_bills: OnBills) -> None:
        """Read the bills of a customer, or all if `customer` is empty.

        The callback gets None if the bills cannot be read.
        """

    def explain(self, request_id: str, on_explained: OnExplained) -> None:
        """Find the decisions about a request.

        The callback gets None if there are none.
        """
