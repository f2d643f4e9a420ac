"""Run the API and the command line in a test without a network."""

import hashlib
import io
import json
import random
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from bamboodeck.admin.api import AdminApi
from bamboodeck.admin.calls import PATH_PREFIX, STATUS_OK, Method
from bamboodeck.admin.client import NoAnswerError, RequestFailedError
from bamboodeck.admin.messages import (
    BillRow,
    BillsView,
    CreditsRow,
    DecisionRow,
    ErrorBody,
    ExplainView,
    NodeStatus,
    PlacementRow,
    RolloutRow,
    decode_body,
    encode_body,
)
from bamboodeck.admin.program import run_command
from bamboodeck.admin.session import Dependencies
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.environment import Environment
from bamboodeck.exit_status import ExitStatus
from bamboodeck.http.messages import ApiRequest, ApiResponse
from bamboodeck.invariants import Invariants
from bamboodeck.logs import build_event_log

from ..configuration.naive_store import Fate, NaiveStore

BOOTSTRAP_KEY = 'first-key'


class FixedView:
    """Provide two zones; the second is cut off on demand."""

    node = 'entry-1'
    zone = 'flanders-a'

    def __init__(self, replica: ConfigurationReplica) -> None:
        """Report the revision of one replica for every node."""
        self.cut_off = False
        self._replica = replica

    def status_rows(self) -> tuple[NodeStatus, ...]:
        """Return a node in each zone."""
        revision = self._replica.revision
        second_revision = 0 if self.cut_off else revision
        return (
            NodeStatus('entry-1', 'flanders-a', 'entry', revision, 0, 0),
            NodeStatus('entry-2', 'wallonia-a', 'entry', second_revision, 9, 1),
        )

    def rollout_rows(self) -> tuple[RolloutRow, ...]:
        """Return one roll-out."""
        return (RolloutRow('small@2', 'small@1', 12.5, 200, 'exposing'),)

    def placement_rows(self) -> tuple[PlacementRow, ...]:
        """Return one engine."""
        return (PlacementRow('e-1', 'flanders-a', 3, ('small@1',), True),)

    def credits_rows(self) -> tuple[CreditsRow, ...]:
        """Return one provider."""
        return (CreditsRow('harbour', 90000, 1200.5, 88799.5, 1.8e9, 0.7),)

    def read_bills(self, customer: str, on_bills) -> None:
        """Return one bill."""
        bill = BillRow(customer or 'school-board', 3, 1200, 400, 0.0148)
        on_bills(BillsView(1.8e9, (bill,)))

    def explain(self, request_id: str, on_explained) -> None:
        """Find decisions about one request only."""
        row = DecisionRow(1.8e9, 'entry-1', 'route_chosen', 'small@1', 'a', 'b')
        known = request_id == 'request/1'
        on_explained(ExplainView(request_id, (row,)) if known else None)


@dataclass(frozen=True)
class CommandResult:
    """Capture the output and exit status of a command."""

    status: ExitStatus
    stdout: str
    stderr: str

    @property
    def content(self) -> Any:
        """Decode standard output as JSON."""
        return json.loads(self.stdout)


@dataclass
class Host:
    """Run the API of an entry host on a naive store."""

    store: NaiveStore = field(default_factory=NaiveStore)
    fate: Fate = Fate.ANSWERED
    now_s: float = 100
    propagate: bool = True
    reachable: bool = True

    def __post_init__(self) -> None:
        """Build the API with the bootstrap key."""
        self.log = io.StringIO()
        self.replica = ConfigurationReplica(Invariants(None, raising=True), 0)
        self.view = FixedView(self.replica)
        self.api = AdminApi(
            self.replica,
            ConfigurationWriter(self.store, lambda _, step: step()),
            self.view,
            build_event_log(self.log),
            monotonic_s=lambda: self.now_s,
            wall_s=lambda: 1.8e9 + self.now_s,
            bootstrap_key_sha256=hashlib.sha256(
                BOOTSTRAP_KEY.encode(),
            ).hexdigest(),
        )

    def ask(
        self,
        method: str,
        path: str,
        key: str,
        body: bytes = b'',
    ) -> ApiResponse:
        """Handle a request and offer its change to the replica."""
        answers: list[ApiResponse] = []
        path, _, query = path.partition('?')
        request = ApiRequest(
            method,
            PATH_PREFIX + path,
            query,
            MappingProxyType({'authorization': f'Bearer {key}'}),
            body,
            '127.0.0.1',
            self.now_s,
        )
        self.api.handle(request, answers.append)
        while self.store.pending:
            self.store.step(0, self.fate)
        if self.propagate and self.store.log:
            newest = self.store.log[-1]
            self.replica.offer(newest.revision, newest.body, 'service')
            self.replica.confirm_revision(newest.revision, self.now_s)
        assert len(answers) == 1
        return answers[0]

    def run(self, key: str, *arguments: str) -> CommandResult:
        """Run a command against this host."""
        environment = Environment(
            stdout=io.StringIO(),
            stderr=io.StringIO(),
            monotonic_s=lambda: self.now_s,
            random=random.Random(len(self.store.log)),
        )
        dependencies = Dependencies(
            environment,
            lambda address, key: DirectClient(self, key),
            self.sleep,
        )
        server = ('--server', '127.0.0.1:7102', '--key', key)
        status = run_command((*arguments, *server), dependencies)
        return CommandResult(
            status,
            environment.stdout.getvalue(),
            environment.stderr.getvalue(),
        )

    def sleep(self, delay_s: float) -> None:
        """Advance virtual time."""
        self.now_s += delay_s


@dataclass(frozen=True)
class DirectClient:
    """Call the API of a host in-process with encoded messages."""

    host: Host
    key: str

    def call(
        self,
        method: Method,
        path: str,
        expected: type[Any],
        body: Any = None,
    ) -> Any:
        """Encode the request and decode the answer as over a network."""
        content = b'' if body is None else encode_body(body)
        answer = self.host.ask(method.value, path, self.key, content)
        if not self.host.reachable:
            raise NoAnswerError('no answer from the test')
        if answer.status != STATUS_OK:
            error = decode_body(answer.body, ErrorBody).error
            raise RequestFailedError(error)
        return decode_body(answer.body, expected)
