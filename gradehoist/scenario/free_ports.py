"""Finding loopback ports that nothing listens on."""

from __future__ import annotations

import random
import socket
from contextlib import ExitStack, suppress

# Below the range that systems take for outgoing connections: from there, a port that was free a moment ago
# was another run's connection when its process came to listen.
FIRST_PORT = 10_000
LAST_PORT = 32_000
MAX_START_PORT = 30_000  # the search begins at random up to here


def find_free_ports(count: int) -> list[int]:
    """Finds free loopback ports, held together while they are found so that none is found twice."""
    port = random.SystemRandom().randrange(FIRST_PORT, MAX_START_PORT)
    ports: list[int] = []
    with ExitStack() as stack:
        while len(ports) < count:
            port = port + 1 if port < LAST_PORT else FIRST_PORT
            candidate = stack.enter_context(socket.socket())
            with suppress(OSError):
                candidate.bind(("127.0.0.1", port))
                ports.append(port)
    return ports
