"""HTTP clients for the listed replicas, one for each address."""

from __future__ import annotations

from collections.abc import Iterable

from gradehoist.net.client import HttpClient
from gradehoist.protocol.feed import EndpointRecord
from gradehoist.settings.reader import parse_address


def replica_address(endpoint: EndpointRecord) -> str:
    """Returns the address of the replica, which is its name unless the record contains an address."""
    return endpoint.address or endpoint.replica


class ReplicaClients:
    """Keeps connections to the listed replicas open. The service owns it."""

    def __init__(self) -> None:
        """Creates the set without connections."""
        self._clients: dict[str, HttpClient] = {}

    def get(self, address: str) -> HttpClient:
        """Returns the client for an address.

        Raises:
            ValueError: the address is not an IPv4 address with a port. Host names are not resolved, because
                that would block the event loop.
        """
        if address not in self._clients:
            self._clients[address] = HttpClient(*parse_address(address))
        return self._clients[address]

    def close_unlisted(self, endpoints: Iterable[EndpointRecord]) -> None:
        """Closes the connections to unlisted replicas, each of which would keep a file descriptor open."""
        listed = {replica_address(endpoint) for endpoint in endpoints}
        for address in [address for address in self._clients if address not in listed]:
            self._clients.pop(address).close()
