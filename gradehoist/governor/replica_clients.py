"""HTTP clients of the listed replicas, one for each address."""

from __future__ import annotations

from collections.abc import Iterable

from gradehoist.net.client import HttpClient
from gradehoist.protocol.feed import EndpointRecord
from gradehoist.settings.reader import parse_address


def replica_address(endpoint: EndpointRecord) -> str:
    """Where this governor reaches the replica; that is its name unless the record says otherwise."""
    return endpoint.address or endpoint.replica


class ReplicaClients:
    """Keeps connections to replicas open while they are listed. The service owns it."""

    def __init__(self) -> None:
        """Starts without connections."""
        self._clients: dict[str, HttpClient] = {}

    def get(self, address: str) -> HttpClient:
        """The client for an address.

        Raises:
            ValueError: it is no dotted address with a port. Names are not looked up, as that would block the
                event loop.
        """
        if address not in self._clients:
            self._clients[address] = HttpClient(*parse_address(address))
        return self._clients[address]

    def close_unlisted(self, endpoints: Iterable[EndpointRecord]) -> None:
        """Closes the connections to replicas that have left the list; each would occupy a file for good."""
        listed = {replica_address(endpoint) for endpoint in endpoints}
        for address in [address for address in self._clients if address not in listed]:
            self._clients.pop(address).close()
