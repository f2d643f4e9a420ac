"""Test the reading of answers, identities and options."""

from pathlib import Path

from click.testing import CliRunner

from bamboodeck.bench.commands import bench
from bamboodeck.bench.soak.answer_reader import Received, read_chat, read_order
from bamboodeck.bench.soak.checks.run_all import run_checks
from bamboodeck.bench.soak.checks.verdicts import Violation
from bamboodeck.bench.soak.identities import build_order_key
from bamboodeck.bench.soak.record import Ending, TraceLine
from bamboodeck.bench.soak.report import build_report, build_trace, write_table
from bamboodeck.exit_status import ExitStatus
from bamboodeck.orders.keys import check_age, locate_record
from bamboodeck.orders.messages import OrderLimits, OrderRequest
from tests.bench.soak.records import build_record

ROLE = b'data: {"choices":[{"delta":{"role":"assistant","content":""}}]}\n\n'
TOKEN = b'data: {"choices":[{"delta":{"content":"r1.0 "}}]}\n\n'
END = b'data: {"choices":[{"delta":{}}],"usage":{"completion_tokens":1}}\n\n'
DONE = b'data: [DONE]\n\n'
ERROR = b'data: {"error":{"code":"deadline_exceeded","message":"late"}}\n\n'


def read_stream(body: bytes, failure: str = ''):
    """Read a streamed answer."""
    return read_chat(Received(200, (), body, failure), stream=True)


class TestStream:
    """Read a streamed answer."""

    def test_whole(self) -> None:
        """Join its text and take its usage."""
        reading = read_stream(ROLE + TOKEN + END + DONE)
        assert reading.ending is Ending.WHOLE
        assert (reading.text, reading.completion_tokens) == ('r1.0 ', 1)

    def test_without_done(self) -> None:
        """Take an answer without its last event as none, also half events."""
        for body in (ROLE + TOKEN + END, ROLE + TOKEN + END[:20], b''):
            assert read_stream(body, 'closed').ending is Ending.NO_ANSWER
            assert read_stream(body).ending is Ending.NO_ANSWER

    def test_error_event(self) -> None:
        """Take the code of an error."""
        reading = read_stream(ROLE + TOKEN + ERROR, 'closed')
        assert reading.ending is Ending.ERROR_EVENT
        assert reading.code == 'deadline_exceeded'


class TestOrderAnswer:
    """Read the answer to an order."""

    def test_endings(self) -> None:
        """Tell an answer, a refusal and a broken connection apart."""
        assert read_order(Received(200, (), b'{}')).ending is Ending.WHOLE
        refused = read_order(Received(409, (), b'{"error":{"code":"x"}}'))
        assert (refused.ending, refused.code) == (Ending.REFUSED, 'x')
        broken = read_order(Received(0, (), b'', 'closed'))
        assert broken.ending is Ending.NO_ANSWER


class TestOrderKey:
    """Build order keys."""

    def test_is_accepted(self) -> None:
        """Build a key of now that the system takes."""
        key = build_order_key(1_800_000_000, (1 << 74) - 1)
        request = OrderRequest('c', 'orders', 'take-payment', key, b'')
        locate_record(request)
        check_age(key, 1_800_000_000, OrderLimits())


class TestReport:
    """Report a run."""

    def test_trace_in_order(self) -> None:
        """List the attempts and the faults around by time."""
        record = build_record()
        faults = (TraceLine(12, 'after'), TraceLine(9, 'before'))
        violation = Violation('x', 'y', 'r1', 10, 13)
        trace = build_trace(
            type(record)(
                settled=True,
                chats=record.chats,
                trace=(*faults, TraceLine(500, 'much later')),
            ),
            violation,
        )
        assert [line.at_s for line in trace] == [9, 12, 13]

    def test_table_tells_violations(self) -> None:
        """Tell the check, the seed and the detail."""
        record = type(build_record())(
            settled=False,
            unsettled_reason='host1.entry shows no metrics',
        )
        report = build_report(5, 20, record, run_checks(record))
        table = '\n'.join(write_table(report))
        assert report.violated_count == 1
        assert 'VIOLATED system comes to rest: host1.entry' in table
        assert 'seed 5' in table


class TestOptions:
    """Refuse bad options."""

    def invoke(self, *options: str):
        """Run the command."""
        return CliRunner().invoke(bench, ['soak', *options])

    def test_bad_numbers(self, tmp_path: Path) -> None:
        """Name the option and what is allowed."""
        for seed, duration_s in (('-1', '20'), ('x', '20'), ('1', '1')):
            outcome = self.invoke(
                '--seed',
                seed,
                '--duration-s',
                duration_s,
                '--system',
                str(tmp_path),
            )
            assert outcome.exit_code == ExitStatus.BAD_INPUT
            assert 'Invalid value' in outcome.output

    def test_folder_without_layout(self, tmp_path: Path) -> None:
        """Name the file that is missing."""
        outcome = self.invoke(
            '--seed',
            '1',
            '--duration-s',
            '20',
            '--system',
            str(tmp_path),
        )
        assert outcome.exit_code == ExitStatus.BAD_INPUT
        assert 'layout.ini' in outcome.output
