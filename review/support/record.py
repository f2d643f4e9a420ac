"""Record what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Write lines with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Replace an earlier record."""
        self._began_s = time.monotonic()
        self._lines = path.open('w', encoding='utf-8')

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def add(self, *words: object) -> None:
        """Write a line."""
        text = ' '.join(map(str, words))
        self._lines.write(f'{self.now_s():8.3f} {text}\n')
        self._lines.flush()

    def close(self) -> None:
        """Close the file."""
        self._lines.close()
