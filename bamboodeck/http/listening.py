"""Open listening sockets.

Imports little, so that a process can listen before the rest of it is loaded.
"""

import socket

# Longer than the burst of new connections when a neighbour is restarted.
LISTEN_BACKLOG = 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Listen without blocking; port 0 takes a free port; raise `OSError`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
