"""Hold the limit on requests that an engine in need has named."""

from dataclasses import dataclass


@dataclass(slots=True)
class NamedLimit:
    """Hold the requests a second that an engine takes from all hosts."""

    limit_per_s: float
    # When an answer first named a limit, and when the last one did.
    named_s: float
    confirmed_s: float
