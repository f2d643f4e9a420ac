"""Fetch the configuration from peers and serve it to them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.replica import (
    Accepted,
    ConfigurationReplica,
    Ignored,
    Refused,
)
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import (
    ConfigurationNews,
    ConfigurationWanted,
    FleetSummary,
    ZoneHeartbeat,
)

REQUEST_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """Log that a revision came into force on this node."""

    revision: int
    previous_revision: int
    change_id: str
    preset: str
    source: str


@dataclass(frozen=True, slots=True)
class ConfigurationRefused:
    """Log that a revision was rejected as invalid."""

    revision: int
    source: str
    faults: str


class ConfigurationFeed:
    """Apply configurations from peers and answer requests for them."""

    def __init__(
        self,
        replica: ConfigurationReplica,
        link: PeerLink,
        scheduler: Scheduler,
        log: EventLog,
        on_change: Callable[[Configuration], None],
    ) -> None:
        """Subscribe to configuration messages of peers."""
        self.replica = replica
        self._link = link
        self._scheduler = scheduler
        self._log = log
        self._on_change = on_change
        link.on(ConfigurationNews, self._on_news)
        link.on(ConfigurationWanted, self._on_wanted)
        link.on(ZoneHeartbeat, self._on_heartbeat)
        link.on(FleetSummary, self._on_summary)
        scheduler.call_every(REQUEST_PERIOD_S, self.request_if_missing)

    def request_if_missing(self) -> None:
        """Request the configuration from every peer while none is known."""
        if self.replica.configuration is None:
            for peer in self._link.peers:
                self._link.send(peer, ConfigurationWanted(0))

    def offer(self, revision: int, body: bytes, source: str) -> bool:
        """Put a revision in force if it is newer; return whether it was."""
        outcome = self.replica.offer(revision, body, source)
        match outcome:
            case Accepted(configuration, previous_revision, _):
                self._log.emit(
                    ConfigurationInForce(
                        revision,
                        previous_revision,
                        configuration.change_id,
                        configuration.preset_in_force,
                        source,
                    ),
                )
                self._on_change(configuration)
                return True
            case Refused(faults):
                joined = '; '.join(str(fault) for fault in faults)
                self._log.warn(ConfigurationRefused(revision, source, joined))
            case Ignored():
                return False
        return False

    def send_to(self, peers: Iterable[str]) -> None:
        """Send the configuration in force to peers."""
        if self.replica.configuration is None:
            return
        news = ConfigurationNews(self.replica.revision, self.replica.body)
        for peer in peers:
            self._link.send(peer, news)

    def _on_news(self, sender: str, news: ConfigurationNews) -> None:
        self.offer(news.revision, news.body, f'peer {sender}')

    def _on_wanted(self, sender: str, wanted: ConfigurationWanted) -> None:
        if self.replica.revision > wanted.have_revision:
            self.send_to((sender,))

    def _on_heartbeat(self, sender: str, heartbeat: ZoneHeartbeat) -> None:
        self._apply_heartbeat(sender, heartbeat, 0)

    def _on_summary(self, sender: str, summary: FleetSummary) -> None:
        for zone in summary.zones:
            self._apply_heartbeat(sender, zone.heartbeat, zone.heard_age_s)

    def _apply_heartbeat(
        self,
        sender: str,
        heartbeat: ZoneHeartbeat,
        heard_age_s: float,
    ) -> None:
        if heartbeat.revision > self.replica.revision:
            self._link.send(sender, ConfigurationWanted(self.replica.revision))
        if heartbeat.fresh_age_s < 0:
            return
        self.replica.confirm_revision(
            heartbeat.revision,
            self._scheduler.now_s(),
            heartbeat.fresh_age_s + heard_age_s,
        )
