"""The records that processes share through the coordination store, and the identity of a process.

This module only defines the form of the records; `cached_records` reads and builds them. The encoded field
names are stored, and are read by processes of other versions. A field whose encoded name differs from its
name here has an explicit `name`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from gradehoist.coordination.fencing import FencingToken

MEMBERS_PREFIX = "members/"
NAMES_PREFIX = "names/"
ELECTIONS_PREFIX = "rights/"
GENERATION_FLOORS_KEY = "floors"
"""Key of the record of the highest generations issued, by the key of their ownership record. Neither these
nor lower generations may be issued again."""


class MemberRecord(msgspec.Struct, frozen=True):
    """Describes a running process. The record belongs to the process' session and is deleted when that ends.

    Attributes:
        role: The kind of process, such as `governor`.
        name: The configured name of the process, unique within the role.
        zone: The zone in which the process runs.
        incarnation: Identifies one run of the process. It is never reused.
        generation: Generation of the ownership of the process' name.
        address: `host:port` at which the process answers health checks; empty if it does not.
    """

    role: str
    name: str
    zone: str
    incarnation: str = msgspec.field(name="run")
    generation: int = msgspec.field(name="gen")
    address: str = ""

    @property
    def key(self) -> str:
        """Key of this record in the store."""
        return f"{MEMBERS_PREFIX}{self.role}/{self.name}"


class OwnershipRecord(msgspec.Struct, frozen=True):
    """The owner of a process name, or the leader of an election.

    The record is never deleted. If it were, its generations would start at one again, and fencing tokens
    would be issued a second time.

    Attributes:
        generation: Grows with every change of the owner.
        holder: Incarnation of the owner.
        member_key: Key of the owner's member record; empty if it has none.
    """

    generation: int = msgspec.field(name="gen")
    holder: str
    member_key: str = msgspec.field(name="by", default="")

    @property
    def fencing_token(self) -> FencingToken:
        """The holder's fencing token."""
        return FencingToken(self.generation, self.holder)


@dataclass(frozen=True)
class ProcessIdentity:
    """The identity of a process. The fields are those of its `MemberRecord`."""

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
