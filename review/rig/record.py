"""Write what was sent, answered and run to a file beside the case."""

import json
import time
from pathlib import Path


class Record:
    """Append lines of a case with the time since its start."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record in the folder of a case."""
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_s = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Add an event."""
        since_s = time.monotonic() - self._began_s
        line = ' '.join(
            f'{name}={json.dumps(field, default=str)}'
            for name, field in fields.items()
        )
        self._file.write(f'{since_s:8.3f} {event} {line}'.rstrip())
        self._file.write('\n')
        self._file.flush()
