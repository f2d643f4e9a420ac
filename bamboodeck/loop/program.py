"""Build the loop of a program and stop it gracefully on a signal."""

import signal
import sys
from collections.abc import Callable

from circuits import BaseComponent, handler

from bamboodeck.environment import Environment
from bamboodeck.errors import BamboodeckError
from bamboodeck.exit_status import ExitStatus
from bamboodeck.loop.poller import CallbackPoller
from bamboodeck.loop.scheduler import Scheduler


class Loop(BaseComponent):
    """Own the poller and the scheduler of one process."""

    channel = 'loop'

    def __init__(self, environment: Environment) -> None:
        """Register the poller and the scheduler."""
        super().__init__()
        self.environment = environment
        self.poller = CallbackPoller().register(self)
        self.scheduler = Scheduler(environment.monotonic_s).register(self)
        self._on_stop: Callable[[], None] | None = None
        self._on_reload: Callable[[], None] | None = None

    def stop_by(self, on_stop: Callable[[], None]) -> None:
        """Call a function on SIGTERM or SIGINT; it ends with `finish`."""
        self._on_stop = on_stop

    def reload_by(self, on_reload: Callable[[], None]) -> None:
        """Call a function on SIGHUP, which else ends the process."""
        self._on_reload = on_reload
        signal.signal(signal.SIGHUP, self._signal_handler)

    def finish(self) -> None:
        """End the loop after this turn."""
        self.stop()
        # A call of the scheduler runs before the poller waits.
        self.poller.resume()

    def _signal_handler(self, signo, stack) -> None:
        # The manager's own handler would end the loop at once.
        is_reload = signo == signal.SIGHUP
        heed = self._on_reload if is_reload else self._on_stop
        if heed is None:
            self.stop()
            return
        self.scheduler.call_after(0, heed)
        # The system call is restarted after a signal, so the loop is woken.
        self.poller.resume()

    @handler('exception', channel='*', priority=1)
    def _on_exception(self, *failure, **context) -> None:
        """Write an unexpected failure of a handler to the error stream."""
        _, error, trace = failure[:3]
        lines = trace if isinstance(trace, list) else [str(trace)]
        self.environment.stderr.write(
            'event=handler_failed error={0!r} trace={1!r}\n'.format(
                error,
                ''.join(lines),
            ),
        )


def ignore_broken_pipes() -> None:
    """Let a closed peer show as an error of the call, not as a signal."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)


def start_program(serve: Callable[[Environment], None]) -> None:
    """Run a program; exit with the status of the error that ends it."""
    environment = Environment()
    ignore_broken_pipes()
    try:
        serve(environment)
    except BamboodeckError as error:
        environment.stderr.write(f'{error}\n')
        sys.exit(error.exit_status)
    except OSError as error:
        environment.stderr.write(f'{error}\n')
        sys.exit(ExitStatus.UNAVAILABLE)
    sys.exit(ExitStatus.SUCCESS)
