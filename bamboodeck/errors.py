"""Define the base exceptions and their exit statuses."""

from bamboodeck.exit_status import ExitStatus


class BamboodeckError(Exception):
    """Report a failure that a user can act on."""

    exit_status = ExitStatus.ERROR


class InputError(BamboodeckError):
    """Report input that a user has to correct."""

    exit_status = ExitStatus.BAD_INPUT


class UnavailableError(BamboodeckError):
    """Report a peer or service that is currently unreachable."""

    exit_status = ExitStatus.UNAVAILABLE


class ConflictError(BamboodeckError):
    """Report a change that conflicts with a concurrent one."""

    exit_status = ExitStatus.CONFLICT
