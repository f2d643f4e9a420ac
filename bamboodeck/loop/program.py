"""Run a program on an event loop and stop it gracefully on a signal."""

import signal
import sys
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent, handler

from bamboodeck.environment import Environment
from bamboodeck.errors import BamboodeckError
from bamboodeck.exit_status import ExitStatus
from bamboodeck.loop.poller import CallbackPoller
from bamboodeck.loop.scheduler import Scheduler

MAX_HANDLER_ERRORS = 20


class Loop(BaseComponent):
    """Own the poller and the scheduler of a process."""

    channel = 'loop'

    def __init__(self, environment: Environment) -> None:
        """Register the poller and the scheduler."""
        super().__init__()
        self.environment = environment
        self.poller = CallbackPoller().register(self)
        self.scheduler = Scheduler(environment.monotonic_s).register(self)
        # Errors that left a handler, for programs that check themselves.
        self.handler_errors: deque[str] = deque(maxlen=MAX_HANDLER_ERRORS)
        self._on_stop: Callable[[], None] | None = None
        self._on_reload: Callable[[], None] | None = None

    def set_stop_handler(self, on_stop: Callable[[], None]) -> None:
        """Set the SIGTERM and SIGINT handler, which must call `finish`."""
        self._on_stop = on_stop

    def set_reload_handler(self, on_reload: Callable[[], None]) -> None:
        """Set the SIGHUP handler; without one, SIGHUP ends the process."""
        self._on_reload = on_reload
        signal.signal(signal.SIGHUP, self._signal_handler)

    def finish(self) -> None:
        """End the loop after the current iteration."""
        self.stop()
        # Wakes the poller, which waits after scheduled calls have run.
        self.poller.resume()

    def _signal_handler(self, signo, stack) -> None:
        # The handler of circuits' manager would end the loop immediately.
        is_reload = signo == signal.SIGHUP
        callback = self._on_reload if is_reload else self._on_stop
        if callback is None:
            self.stop()
            return
        self.scheduler.call_after(0, callback)
        # Wakes the poller, since its system call is restarted after a signal.
        self.poller.resume()

    @handler('exception', channel='*', priority=1)
    def _on_exception(self, *failure, **context) -> None:
        """Log an unhandled exception of a handler to the error stream."""
        _, error, trace = failure[:3]
        lines = trace if isinstance(trace, list) else [str(trace)]
        self.handler_errors.append(repr(error))
        self.environment.stderr.write(
            'event=handler_failed error={0!r} trace={1!r}\n'.format(
                error,
                ''.join(lines),
            ),
        )


def ignore_broken_pipes() -> None:
    """Report writes to a closed peer as errors instead of SIGPIPE."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)


def start_program(serve: Callable[[Environment], None]) -> None:
    """Run a program and exit with the status of its error, if any."""
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
