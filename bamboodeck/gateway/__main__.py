"""Run the gateway process."""

from bamboodeck.gateway.early import listen_early, outlive_early_reload
from bamboodeck.platform.boot import find_listen_addresses

if __name__ == '__main__':
    outlive_early_reload()
    listeners = listen_early(find_listen_addresses())
    # Loaded while the first callers connect.
    from bamboodeck.gateway.program import main  # noqa: WPS433

    main(listeners)
