"""Checks whether the store was linearizable, key by key, from what processes requested and observed.

For each key the operations must have an order in which each takes place at one moment between its invocation
and its completion, every write finds the version that it expected, and every read shows the last write. A
write of unknown outcome may have taken place at any time since its invocation, or never. A record that
belongs to a session may go at any time. Reads change nothing, so each is placed as early as the state fits;
what is searched is the order of the writes alone (after Wing and Gong, with Lowe's search from completion to
completion).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gradehoist.history.operations import (
    ABSENT,
    UNSEEN_VERSION,
    Operation,
    RecordState,
    group_by_key,
)
from gradehoist.history.records import HistoryEntry, HistoryError

MAX_CONFIGURATIONS = 200_000
"""Configurations at once: far beyond those of any history that is in order."""

Configuration = tuple[RecordState, frozenset[int]]
"""A state that the record may have, and which operations in flight took place on the way to it."""


class HistoryTooLooseError(HistoryError):
    """Too many orders are possible at once to check a history."""


@dataclass(frozen=True)
class LinearizabilityViolation:
    """Operations on a key that no order explains.

    `operations` is the shortest run of them up to the one that fits nowhere, whatever state it began in.
    """

    key: str
    operations: tuple[Operation, ...]

    def __str__(self) -> str:
        """The key and the operations, one a line."""
        title = f"{self.key}: no linearizable order of these operations exists:"
        return "\n".join([title, *(f"  {operation}" for operation in self.operations)])


def find_linearizability_violations(entries: Iterable[HistoryEntry]) -> list[LinearizabilityViolation]:
    """A violation for each key whose operations have no order. Raises HistoryTooLooseError."""
    violations = []
    for key, key_operations in sorted(group_by_key(entries).items()):
        operations = key_operations.with_session_ends()
        misfit = _Search(operations).run({ABSENT})
        if misfit is not None:
            violations.append(LinearizabilityViolation(key, _shortest_misfit(operations, misfit)))
    return violations


class _Search:
    """Follows, from completion to completion, all configurations that the operations on one key allow."""

    def __init__(self, operations: list[Operation]) -> None:
        self._operations = {operation.index: operation for operation in operations}
        self._never_completed = {operation.index for operation in operations if not operation.is_completed}
        # Of states that nobody saw the version is not known, but it is above the one that the write expected.
        self._version_before_unseen = {
            operation.written: operation.expected_version
            for operation in operations
            if operation.written is not None and operation.written[0] == UNSEEN_VERSION
        }
        self._may_become_absent = any(operation.written == ABSENT for operation in operations)
        self._reads_in_flight: set[int] = set()
        self._writes_in_flight: set[int] = set()
        self._configurations: set[Configuration] = set()

    def run(self, initial_states: set[RecordState]) -> Operation | None:
        """The operation at whose completion no order is left, or None."""
        self._configurations = {(state, frozenset()) for state in initial_states}
        for operation, is_completion in self._moments():
            if not is_completion:
                self._on_invocation(operation)
                continue
            self._on_completion(operation)
            if not self._configurations:
                return operation
            if len(self._configurations) > MAX_CONFIGURATIONS:
                raise HistoryTooLooseError(
                    f"over {MAX_CONFIGURATIONS} orders are possible at once: too many to check the history"
                )
        return None

    def _moments(self) -> list[tuple[Operation, bool]]:
        """Invocations and completions in order; of the same time, invocations come first."""
        moments: list[tuple[float, bool, int]] = []
        for operation in self._operations.values():
            moments.append((operation.invoked_us, False, operation.index))
            if operation.is_completed:
                moments.append((operation.completed_us, True, operation.index))
        return [(self._operations[index], is_completion) for _, is_completion, index in sorted(moments)]

    def _on_invocation(self, operation: Operation) -> None:
        if not operation.is_read:
            self._writes_in_flight.add(operation.index)
            return
        self._reads_in_flight.add(operation.index)
        self._configurations = {
            (state, done | {operation.index}) if operation.observed == state else (state, done)
            for state, done in self._configurations
        }

    def _on_completion(self, operation: Operation) -> None:
        reached: set[Configuration] = set()
        for configuration in self._configurations:
            reached |= self._until_done(configuration, operation.index)
        self._configurations = {
            (state, done - {operation.index} | self._impossible_writes(state)) for state, done in reached
        }
        self._reads_in_flight.discard(operation.index)
        self._writes_in_flight.discard(operation.index)

    def _until_done(self, start: Configuration, index: int) -> set[Configuration]:
        """All configurations in which an operation has taken place, by way of any writes in flight."""
        reached: set[Configuration] = set()
        seen = {start}
        to_visit = [start]
        while to_visit:
            state, done = to_visit.pop()
            if index in done:
                reached.add((state, done))
                continue  # what else may have taken place by now is searched when it matters
            for following in self._after_one_write(state, done):
                if following not in seen:
                    seen.add(following)
                    to_visit.append(following)
        return reached

    def _after_one_write(self, state: RecordState, done: frozenset[int]) -> list[Configuration]:
        """The configurations after any one write in flight, with all reads that its state allows."""
        following = []
        for index in self._writes_in_flight - done:
            write = self._operations[index]
            if write.written is None or not write.can_follow(state):
                continue
            reads = {
                read for read in self._reads_in_flight if self._operations[read].observed == write.written
            }
            following.append((write.written, done | {index} | reads))
        return following

    def _impossible_writes(self, state: RecordState) -> frozenset[int]:
        """Writes of unknown outcome that can't follow any more: whether they took place is irrelevant."""
        version = state[0]
        if version == UNSEEN_VERSION:
            version = self._version_before_unseen.get(state, 0) + 1
        can_become_absent = state == ABSENT or self._may_become_absent
        impossible = set()
        for index in self._never_completed & self._writes_in_flight:
            expected_version = self._operations[index].expected_version
            expects_absent = expected_version == 0
            if expected_version < version and not (expects_absent and can_become_absent):
                impossible.add(index)
        return frozenset(impossible)


def _shortest_misfit(operations: list[Operation], misfit: Operation) -> tuple[Operation, ...]:
    """The fewest last operations that have no order, whatever the state before them."""
    relevant = sorted(
        (operation for operation in operations if operation.invoked_us <= misfit.completed_us),
        key=lambda operation: (operation.completed_us, operation.invoked_us),
    )
    initial_states = _possible_states(relevant)
    completed = [operation for operation in relevant if operation.completed_us <= misfit.completed_us]
    in_flight = [operation for operation in relevant if operation.completed_us > misfit.completed_us]
    for first in range(len(completed) - 1, -1, -1):
        window = completed[first:]
        if _Search([*window, *in_flight]).run(initial_states) is not None:
            return tuple(window)
    return tuple(completed)


def _possible_states(operations: list[Operation]) -> set[RecordState]:
    """All states that some operations mention."""
    states = {ABSENT}
    for operation in operations:
        if operation.observed is not None:
            states.add(operation.observed)
        if operation.written is not None:
            states.add(operation.written)
        if operation.expected_version > 0:
            states.add((operation.expected_version, ""))
    return states
