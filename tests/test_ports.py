"""Test the allocation of test addresses."""

import socket

from tests.ports import FIRST_PORT, LOOPBACK, PORT_COUNT, PortPool

ADDRESS_COUNT = 2000


class TestPortPool:
    """Allocate addresses before tests listen on them."""

    def test_no_address_twice(self) -> None:
        """Allocate no address twice."""
        pool = PortPool(0)
        addresses = [pool.allocate() for _ in range(ADDRESS_COUNT)]
        assert len(set(addresses)) == ADDRESS_COUNT

    def test_below_outgoing_ports(self) -> None:
        """Wrap around at the end of the range."""
        pool = PortPool(PORT_COUNT - 1)
        ports = {pool.allocate().port for _ in range(3)}
        assert ports <= set(range(FIRST_PORT, FIRST_PORT + PORT_COUNT))

    def test_taken_port(self) -> None:
        """Skip a port that is in use."""
        pool = PortPool(ADDRESS_COUNT)
        with socket.socket() as taken:
            taken.bind((LOOPBACK, FIRST_PORT + ADDRESS_COUNT))
            taken.listen()
            assert pool.allocate().port > FIRST_PORT + ADDRESS_COUNT

    def test_taken_for_datagrams(self) -> None:
        """Skip a port that is in use for datagrams only."""
        pool = PortPool(ADDRESS_COUNT)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind((LOOPBACK, FIRST_PORT + ADDRESS_COUNT))
            assert pool.allocate().port > FIRST_PORT + ADDRESS_COUNT
