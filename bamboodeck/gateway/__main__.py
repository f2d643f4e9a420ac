"""Run the gateway process."""

from bamboodeck.gateway.early import ignore_early_sighup, listen_early
from bamboodeck.platform.boot import find_listen_addresses

if __name__ == '__main__':
    ignore_early_sighup()
    listeners = listen_early(find_listen_addresses())
    # Imported late, while the first callers already connect.
    from bamboodeck.gateway.program import main  # noqa: WPS433

    main(listeners)
