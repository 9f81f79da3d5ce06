"""What a scenario says of a fault, and how late the endpoint list is to notice one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Variant(StrEnum):
    """How a fault strikes, where its kind knows more than one way; files name it as `how`."""

    ANY = "any"
    SILENT = "silent"
    ALL = "all"
    REFUSE = "refuse"
    DELAY = "delay"
    LOSE = "lose"
    UNLISTED = "unlisted"
    FORGET = "forget"


@dataclass(frozen=True, slots=True)
class EndpointListDelays:
    """How late the endpoint list shows that a process ended, that one fell silent, and that one was added."""

    ended_us: int
    silent_us: int
    added_us: int


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from `at_us` on, for `duration_us`.

    It strikes `affected_share` of the replicas or proxies, of `zone` and `replica_kind` where these are not
    empty. What `magnitude` and `extra_us` mean is up to the kind.
    """

    kind: str
    at_us: int
    duration_us: int
    affected_share: float
    magnitude: float
    extra_us: int
    zone: str
    replica_kind: str
    governor: str
    variant: Variant

    @property
    def end_us(self) -> int:
        """When the fault ends."""
        return self.at_us + self.duration_us
