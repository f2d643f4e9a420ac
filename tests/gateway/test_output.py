"""Test that logs are bounded and never block."""

import os

from bamboodeck.gateway.output import (
    MAX_LINES_PER_S,
    MAX_PENDING_BYTES,
    BoundedOutput,
)

LINE = 'x' * 99 + '\n'


class TestBoundedOutput:
    """Drop lines rather than block."""

    def test_whole_lines(self) -> None:
        """Write every line once."""
        reader, writer = os.pipe()
        output = BoundedOutput(writer)
        for number in range(5):
            output.write(f'line {number}\n')
        output.drain()
        expected = b''.join(b'line %d\n' % number for number in range(5))
        assert os.read(reader, 1000) == expected

    def test_lines_each_second(self) -> None:
        """Count the lines beyond the rate limit."""
        _, writer = os.pipe()
        output = BoundedOutput(writer)
        for _ in range(MAX_LINES_PER_S + 7):
            output.write('line\n')
        assert output.start_second() == 7
        output.write('line\n')
        assert output.start_second() == 0

    def test_full_pipe(self) -> None:
        """Continue while nobody reads, and write whole lines afterwards."""
        reader, writer = os.pipe()
        output = BoundedOutput(writer)
        for _ in range(40):
            for _ in range(MAX_LINES_PER_S):
                output.write(LINE)
            output.drain()
            output.start_second()
        read = b''
        for _ in range(20):
            read += os.read(reader, MAX_PENDING_BYTES)
            output.write(LINE)
            output.drain()
        whole, _, _ = read.rpartition(b'\n')
        assert set(whole.split(b'\n')) == {LINE.strip().encode()}

    def test_closed_reader(self) -> None:
        """Count the lines that no reader can receive."""
        reader, writer = os.pipe()
        os.close(reader)
        output = BoundedOutput(writer)
        output.write('line\n')
        output.drain()
        assert output.start_second() == 1
