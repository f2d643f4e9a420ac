"""Apply the credit prices set by the holder of the fleet's lease."""

from dataclasses import dataclass

from bamboodeck.logs import EventLog
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import CreditNews
from bamboodeck.routing.messages import CreditPrice
from bamboodeck.routing.router import Router


@dataclass(frozen=True, slots=True)
class CreditPriceTaken:
    """Log a new credit price that this node routes by."""

    provider: str
    credit_price: float


class NodeCredits:
    """Keep the latest prices, also while the zone is partitioned."""

    def __init__(self, link: PeerLink, log: EventLog) -> None:
        """Subscribe to the credit news of the zone's relay."""
        self.latest = CreditNews(0, ())
        self._log = log
        self._prices: tuple[CreditPrice, ...] = ()
        self._router: Router | None = None
        link.on(CreditNews, self._on_news)

    def attach(self, router: Router) -> None:
        """Apply current and later prices to a router."""
        self._router = router
        router.set_credit_price(self._prices)

    def _on_news(self, sender: str, news: CreditNews) -> None:
        if news.fencing_number < self.latest.fencing_number:
            return
        self.latest = news
        prices = tuple(
            CreditPrice(each.provider, each.credit_price)
            for each in news.providers
        )
        if prices == self._prices:
            return
        for price in set(prices) - set(self._prices):
            self._log.emit(CreditPriceTaken(price.provider, price.price))
        self._prices = prices
        if self._router is not None:
            self._router.set_credit_price(prices)
