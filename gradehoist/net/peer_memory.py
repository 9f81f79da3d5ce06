"""The memory that connected peers use, against one budget for the whole process.

A limit for each connection is no limit for the process: six hundred peers that each sent most of a large
message, all within their own limits, took 600 MB. When the budget is exceeded, the peer that holds the most
is closed first, and peers that behave go last.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

# What an open connection takes apart from the data of its peer: socket, stream, parser and task.
CONNECTION_BYTES = 4_096

# A peer with a finished message behaves as long as it leaves no more than this unfinished or unread.
UNFINISHED_BYTES = 16_384
UNREAD_BYTES = 131_072

# The share of the memory that is left to the process after its start. The rest is for the tables of its
# fleet, for messages while they are decoded, and for memory that the allocator does not return at once.
PEER_MEMORY_SHARE = 0.3
MIN_BUDGET_BYTES = 2 << 20  # a message of the largest size, and small ones of others


@dataclass(slots=True)
class PeerUsage:
    """The data of one peer that the process holds, in bytes.

    `is_established` tells whether the peer has completed a message that was accepted.
    """

    unfinished_bytes: int = 0  # received, but not a complete message yet
    unread_bytes: int = 0  # written, but not taken by the peer's connection yet
    is_established: bool = False

    @property
    def total_bytes(self) -> int:
        """All memory of the connection."""
        return CONNECTION_BYTES + self.unfinished_bytes + self.unread_bytes

    @property
    def behaves(self) -> bool:
        """Whether the peer is closed only after those that do not behave."""
        return (
            self.is_established
            and self.unfinished_bytes <= UNFINISHED_BYTES
            and self.unread_bytes <= UNREAD_BYTES
        )


class Peer(Protocol):
    """A connection whose memory counts against the budget."""

    usage: PeerUsage

    def evict(self, reason: str) -> None:
        """Closes the connection, with an error message if the peer can take one."""


class PeerMemory:
    """The budget of one process; all of its servers share it."""

    def __init__(self, limit_bytes: int) -> None:
        """Creates a budget of `limit_bytes` without peers."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.evicted_count = 0
        self._counted_bytes: dict[Peer, int] = {}  # oldest first

    def add(self, peer: Peer) -> None:
        """Adds a peer that has connected, and makes space for it if necessary."""
        self._counted_bytes[peer] = 0
        self.update(peer)

    def update(self, peer: Peer) -> None:
        """Counts a peer's memory anew; closes peers, this one included, until the budget is kept."""
        if peer not in self._counted_bytes:
            return
        total_bytes = peer.usage.total_bytes
        self.used_bytes += total_bytes - self._counted_bytes[peer]
        self._counted_bytes[peer] = total_bytes
        while self.used_bytes > self.limit_bytes:
            self._evict_one()

    def remove(self, peer: Peer) -> None:
        """Releases the memory of a peer whose connection has closed."""
        self.used_bytes -= self._counted_bytes.pop(peer, 0)

    def _evict_one(self) -> None:
        # Of peers that hold equally much, the one that has been connected for longest goes first.
        victim = max(
            self._counted_bytes, key=lambda peer: (not peer.usage.behaves, self._counted_bytes[peer])
        )
        self.remove(victim)
        self.evicted_count += 1
        victim.evict(f"the peers of this process hold over {self.limit_bytes} bytes")


def peer_budget_bytes(memory_limit_bytes: int, used_bytes: int) -> int:
    """Returns the budget that follows from the memory limit of a process and what it has used so far."""
    return max(MIN_BUDGET_BYTES, int(PEER_MEMORY_SHARE * (memory_limit_bytes - used_bytes)))
