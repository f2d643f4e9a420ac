"""Test the messages about engines that broke off."""

from types import SimpleNamespace

from bamboodeck.gateway.fleet import PUBLISH_PERIOD_S
from bamboodeck.gateway.peer_messages import AliveNotice, SuspectUpdate
from bamboodeck.gateway.suspect_parts import (
    EngineCrash,
    SuspectPart,
    SuspectParts,
)
from bamboodeck.gateway.suspect_sharing import SuspectSharing

HOSTS = 30
WATCHED_S = 10.0


class SharingHosts:
    """Run the sharing of a zone's hosts on a virtual clock."""

    def __init__(self) -> None:
        """Start without crashes."""
        self.now_s = 1000.0
        self.sent: list[SuspectUpdate] = []
        self.hosts = [SuspectSharing(self._build()) for _ in range(HOSTS)]

    def report(self, host: int, incarnation: str, part_id: str) -> None:
        """Let a host see an engine break off a request with a part."""
        crash = EngineCrash(
            incarnation,
            self.now_s,
            (SuspectPart(part_id, 1),),
        )
        self.suspects(host).record_crash(crash, self.now_s)
        self.hosts[host].report(crash)

    def suspects(self, host: int) -> SuspectParts:
        """Return what a host knows."""
        return self.hosts[host]._context.suspect_parts

    def run(self, duration_s: float = WATCHED_S, lost: int = 0) -> int:
        """Publish for a duration, and return the number of messages.

        The first `lost` messages reach no host.
        """
        before = len(self.sent)
        for _ in range(round(duration_s / PUBLISH_PERIOD_S)):
            for sender in self.hosts:
                update = sender.build_update(is_first=False)
                if update is None:
                    continue
                self.sent.append(update)
                if len(self.sent) - before > lost:
                    self._deliver(sender, update)
            self.now_s += PUBLISH_PERIOD_S
        return len(self.sent) - before

    def _deliver(self, sender: SuspectSharing, update: SuspectUpdate) -> None:
        for host in self.hosts:
            if host is not sender:
                host.apply(update)

    def _build(self) -> SimpleNamespace:
        return SimpleNamespace(
            suspect_parts=SuspectParts(),
            engines=(),
            now_s=lambda: self.now_s,
        )


class TestLargeZone:
    """Bound the messages that each host of a large zone has to handle."""

    def test_crash_seen_by_every_host(self) -> None:
        """Send a few messages a host for one engine, not one each period."""
        zone = SharingHosts()
        for host in range(HOSTS):
            zone.report(host, 'engine/1', f'{host:x}')
        assert zone.run() <= 5 * HOSTS
        for host in range(HOSTS):
            known = zone.suspects(host).list_crashes(
                [f'{each:x}' for each in range(HOSTS)],
            )
            assert len(known[0].parts) == HOSTS

    def test_reported_again(self) -> None:
        """Send no more messages for a request with the same parts."""
        zone = SharingHosts()
        zone.report(0, 'engine/1', 'a1')
        once = zone.run()
        assert once
        zone.report(1, 'engine/2', 'b2')
        sent = 0
        for _ in range(8):
            zone.report(1, 'engine/2', 'b2')
            sent += zone.run(PUBLISH_PERIOD_S)
        assert sent + zone.run() == once

    def test_running_engine_still_reported(self) -> None:
        """Stop reporting an engine that other hosts saw running on."""
        zone = SharingHosts()
        zone.report(0, 'engine/1', 'a1')
        zone.run(PUBLISH_PERIOD_S)
        zone.now_s += 1.0
        zone.hosts[0].apply(SuspectUpdate(alive=(AliveNotice('engine/1', 0),)))
        assert zone.run() == 0


class TestLostMessages:
    """Tell other hosts of a crash though messages are lost."""

    def test_three_lost(self) -> None:
        """Repeat a report."""
        zone = SharingHosts()
        zone.report(0, 'engine/1', 'a1')
        zone.run(lost=3)
        for host in range(HOSTS):
            assert 'engine/1' in zone.suspects(host).crashes
