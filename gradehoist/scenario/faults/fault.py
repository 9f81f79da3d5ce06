"""The description of a fault in a scenario, and the delays of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Variant(StrEnum):
    """The variant of a fault whose kind has several; in scenario files it is the property `how`."""

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
    """The delays until the endpoint list shows a change.

    Attributes:
        ended_us: the delay after a process has exited.
        silent_us: the delay after a machine has stopped responding.
        added_us: the delay after a replica has started or begins to drain.
    """

    ended_us: int
    silent_us: int
    added_us: int


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins at `at_us` and lasts `duration_us`.

    It affects `affected_share` of the replicas or proxies. `zone` and `replica_kind` restrict these unless
    they are empty. The meaning of `magnitude` and `extra_us` depends on the kind.
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
        """The time at which the fault ends."""
        return self.at_us + self.duration_us
