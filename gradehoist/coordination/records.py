"""The records that processes share through the coordination store, and the identity of one process.

Only the form of the records is defined here; `cached_records` reads and builds them. The encoded field names
are stored data and shared with processes of other versions: where a field is named otherwise here, its
encoded name is pinned.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from gradehoist.coordination.fencing import FencingToken

MEMBERS_PREFIX = "members/"
NAMES_PREFIX = "names/"
ELECTIONS_PREFIX = "rights/"
GENERATION_FLOORS_KEY = "floors"
"""Key of the record of generations that may not be issued again, by the key of their ownership record."""


class MemberRecord(msgspec.Struct, frozen=True):
    """What a process publishes of itself; the record belongs to its session and goes with it.

    Attributes:
        role: What kind of process it is, such as `governor`.
        name: Its configured name, unique within the role.
        zone: The zone it runs in.
        incarnation: Names one run of the process; never used again for another.
        generation: The generation of its name that this incarnation owns.
        address: `host:port` at which it answers contacts; empty for a process that takes none.
    """

    role: str
    name: str
    zone: str
    incarnation: str = msgspec.field(name="run")
    generation: int = msgspec.field(name="gen")
    address: str = ""

    @property
    def key(self) -> str:
        """The key of this record in the store."""
        return f"{MEMBERS_PREFIX}{self.role}/{self.name}"


class OwnershipRecord(msgspec.Struct, frozen=True):
    """Who owns a process name, or leads in what one process alone may do.

    It is never deleted, or its generations would begin again at one and tokens already used would be issued
    twice.

    Attributes:
        generation: Grows with every change of owner.
        holder: The incarnation that owns it.
        member_key: Key of the holder's member record; empty where it has none.
    """

    generation: int = msgspec.field(name="gen")
    holder: str
    member_key: str = msgspec.field(name="by", default="")

    @property
    def fencing_token(self) -> FencingToken:
        """The token under which the holder acts."""
        return FencingToken(self.generation, self.holder)


@dataclass(frozen=True)
class ProcessIdentity:
    """Who a process is; the fields are those of its `MemberRecord`."""

    role: str
    name: str
    zone: str
    incarnation: str
    address: str = ""

    @property
    def member_key(self) -> str:
        """Key of this process' member record."""
        return f"{MEMBERS_PREFIX}{self.role}/{self.name}"

    @property
    def name_key(self) -> str:
        """Key of the ownership record of this process' name."""
        return f"{NAMES_PREFIX}{self.role}/{self.name}"
