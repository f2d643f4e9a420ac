"""Open listening sockets.

Has few imports, so that a process can listen before the rest is imported.
"""

import socket

# Exceeds the burst of new connections when another host restarts.
LISTEN_BACKLOG = 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Open a non-blocking listener, on a free port for 0; raise `OSError`."""
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
