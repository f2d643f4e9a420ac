"""Hold what callers sent and received, and what was done to the system."""

import enum

import msgspec

from bamboodeck.http.messages import Header, HttpFailed, ReplyHead, find_header
from bamboodeck.platform import protocol


@enum.unique
class RequestKind(enum.Enum):
    """Tell what a request allows."""

    STREAM = 'stream'
    UNSAFE = 'unsafe'
    SAFE = 'safe'
    # On a route that configurations add and remove.
    EXTRA = 'extra'


class Sent(msgspec.Struct):
    """Record a request and its answer; times are monotonic seconds."""

    request_id: str
    kind: RequestKind
    host: str
    method: str
    path: str
    body: bytes
    sent_s: float
    timeout_s: float
    status: int = 0
    headers: tuple[Header, ...] = ()
    answer: bytes = b''
    whole: bool = False
    failure: str = ''
    ended_s: float = 0.0

    @property
    def answer_id(self) -> str | None:
        """Return the request id that the answer bears."""
        return find_header(self.headers, protocol.REQUEST_ID)


class SentSink:
    """Note the answer of a request."""

    def __init__(self, sent: Sent, clock_s, on_ended) -> None:
        """Keep the record, the clock, and what to call at the end."""
        self._sent = sent
        self._clock_s = clock_s
        self._on_ended = on_ended

    def on_head(self, head: ReplyHead) -> None:
        """Take the head."""
        self._sent.status = head.status
        self._sent.headers = head.headers

    def on_data(self, chunk: bytes) -> None:
        """Take the next bytes."""
        self._sent.answer += chunk

    def on_end(self) -> None:
        """Learn that the answer is whole."""
        self._sent.whole = True
        self._end()

    def on_failed(self, failure: HttpFailed) -> None:
        """Learn that the rest won't come."""
        self._sent.failure = failure.reason
        self._end()

    def _end(self) -> None:
        self._sent.ended_s = self._clock_s()
        self._on_ended()


class Disturbance(msgspec.Struct):
    """Tell which host was disturbed from when until when; '' stands for all."""

    host: str
    cause: str
    from_s: float
    until_s: float = float('inf')


class RouteChange(msgspec.Struct, frozen=True):
    """Tell when the route of a prefix was added or removed."""

    prefix: str
    present: bool
    written_s: float


class EngineLeft(msgspec.Struct, frozen=True):
    """Tell when the store listed an engine as leaving."""

    engine_id: str
    written_s: float


class Exit(msgspec.Struct, frozen=True):
    """Tell how a process ended, and by which signal of the soak, if any."""

    host: str
    status: int
    signalled: str
    signalled_s: float
    ended_s: float


class RunRecord(msgspec.Struct):
    """Gather a run."""

    sent: list[Sent] = msgspec.field(default_factory=list)
    disturbances: list[Disturbance] = msgspec.field(default_factory=list)
    routes: list[RouteChange] = msgspec.field(default_factory=list)
    left: list[EngineLeft] = msgspec.field(default_factory=list)
    exits: list[Exit] = msgspec.field(default_factory=list)
    # Faults of the run by kind, and what failed at its end.
    faults: dict[str, int] = msgspec.field(default_factory=dict)
    unsettled: list[str] = msgspec.field(default_factory=list)
    trace: list[str] = msgspec.field(default_factory=list)

    def note_stall(self, from_s: float, until_s: float) -> None:
        """Learn that the soak's own loop has stood still."""
        cause = 'soak-stalled'
        self.disturbances.append(Disturbance('', cause, from_s, until_s))
        self.faults[cause] = self.faults.get(cause, 0) + 1

    def is_calm(
        self,
        host: str,
        from_s: float,
        until_s: float,
        *,
        but: str = '',
    ) -> bool:
        """Tell whether nothing, but one cause, disturbed a host in a span."""
        return not any(
            each.host in {host, ''}
            and each.cause != but
            and each.from_s <= until_s
            and each.until_s >= from_s
            for each in self.disturbances
        )
