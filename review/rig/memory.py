"""Read how much memory a process takes."""

from pathlib import Path

_KB_PER_MB = 1024


def read_memory_mb(process_id: int) -> int:
    """Return the resident memory of a process in megabytes."""
    status = Path(f'/proc/{process_id}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) // _KB_PER_MB
    return 0
