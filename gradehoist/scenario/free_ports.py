"""Finds loopback ports on which nothing listens."""

from __future__ import annotations

import random
import socket
from contextlib import ExitStack, suppress

# The ports lie below the range that operating systems use for outgoing connections. A port of that range that
# was found free could be taken by a connection of another run before the process listened on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000
MAX_START_PORT = 30_000  # The search begins at a random port below this one.


def find_free_ports(count: int) -> list[int]:
    """Returns distinct free ports; all are bound until the last one is found, so that none is found twice."""
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
