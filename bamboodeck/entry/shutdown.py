"""Graceful shutdown of an entry process."""

from bamboodeck.entry.events import ProcessStopped, ProcessStopping

DRAIN_PERIOD_S = 0.1


class Shutdown:
    """Stop accepting, drain running work, then end the loop."""

    def __init__(self, app) -> None:
        """Prepare the shutdown of a process."""
        self.begun = False
        self._app = app
        self._deadline_s = 0.0

    def begin(self) -> None:
        """Start the shutdown; later calls have no effect."""
        if self.begun:
            return
        self.begun = True
        app = self._app
        app.bills.drain()
        app.control_plane.rollouts.release_shares()
        app.reporter.stopping = True
        app.reporter.report()
        app.log.emit(
            ProcessStopping(app.settings.node, app.server.active_count),
        )
        app.server.stop_accepting()
        self._deadline_s = (
            app.loop.scheduler.now_s() + app.settings.drain_timeout_s
        )
        self._finish_when_drained()

    def _finish_when_drained(self) -> None:
        scheduler = self._app.loop.scheduler
        timed_out = scheduler.now_s() >= self._deadline_s
        if self._count_pending() and not timed_out:
            scheduler.call_after(DRAIN_PERIOD_S, self._finish_when_drained)
            return
        self._finish()

    def _count_pending(self) -> int:
        app = self._app
        pending = app.server.active_count + app.bills.unheld_count
        if app.orders is not None:
            pending += app.orders.pending_count
        return pending

    def _finish(self) -> None:
        app = self._app
        app.log.emit(
            ProcessStopped(app.settings.node, app.server.active_count),
        )
        app.admin_server.stop_accepting()
        app.link.close()
        app.client.close()
        app.loop.finish()
