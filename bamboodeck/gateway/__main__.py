"""Run the gateway process."""

from bamboodeck.gateway.program import main

if __name__ == '__main__':
    main()
