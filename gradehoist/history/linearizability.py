"""Checks from the requests and responses of processes whether the store was linearizable, one key at a time.

The operations on a key are linearizable if they have an order in which each takes place at one moment between
its invocation and its completion, every write finds the version that it expects, and every read returns the
last write. A write of unknown outcome may take place at any time after its invocation, or never. A record
that belongs to a session may be deleted at any time.

Reads do not change the state, so each read takes place as soon as the state is the one that it observed. Only
the order of the writes is searched. The search is that of Wing and Gong, with Lowe's refinement of searching
from one completion to the next.
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
"""Bound on the number of configurations at one time. A history without violations has far fewer."""

Configuration = tuple[RecordState, frozenset[int]]
"""A possible state of the record, and the indices of the operations in flight that took place until then."""


class TooManyConfigurationsError(HistoryError):
    """The history can't be checked because too many orders are possible."""


@dataclass(frozen=True)
class LinearizabilityViolation:
    """Operations on a key that have no linearizable order.

    Attributes:
        key: The key.
        operations: The shortest sequence of completed operations that has no order from any initial state.
            Its last operation is the first one that can't be explained.
    """

    key: str
    operations: tuple[Operation, ...]

    def __str__(self) -> str:
        """Returns the key and the operations, one per line."""
        title = f"{self.key}: no linearizable order of these operations exists:"
        return "\n".join([title, *(f"  {operation}" for operation in self.operations)])


def find_linearizability_violations(entries: Iterable[HistoryEntry]) -> list[LinearizabilityViolation]:
    """Returns a violation for each key without a linearizable order. Raises TooManyConfigurationsError."""
    violations = []
    for key, key_operations in sorted(group_by_key(entries).items()):
        operations = key_operations.with_session_ends()
        unexplained = _Search(operations).run({ABSENT})
        if unexplained is not None:
            violations.append(LinearizabilityViolation(key, _shortest_violation(operations, unexplained)))
    return violations


class _Search:
    """Computes all configurations that the operations on one key allow, from one completion to the next."""

    def __init__(self, operations: list[Operation]) -> None:
        self._operations = {operation.index: operation for operation in operations}
        self._never_completed = {operation.index for operation in operations if not operation.is_completed}
        # The version of a state that no process observed is unknown, but is higher than the version that the
        # write expected.
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
        """Returns the operation at whose completion no configuration is left, or None."""
        self._configurations = {(state, frozenset()) for state in initial_states}
        for operation, is_completion in self._events():
            if not is_completion:
                self._on_invocation(operation)
                continue
            self._on_completion(operation)
            if not self._configurations:
                return operation
            if len(self._configurations) > MAX_CONFIGURATIONS:
                raise TooManyConfigurationsError(
                    f"more than {MAX_CONFIGURATIONS} orders are possible; the history can't be checked"
                )
        return None

    def _events(self) -> list[tuple[Operation, bool]]:
        """Returns invocations and completions in order of time. At the same time, invocations come first."""
        events: list[tuple[float, bool, int]] = []
        for operation in self._operations.values():
            events.append((operation.invoked_us, False, operation.index))
            if operation.is_completed:
                events.append((operation.completed_us, True, operation.index))
        return [(self._operations[index], is_completion) for _, is_completion, index in sorted(events)]

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
            reached |= self._configurations_after(configuration, operation.index)
        self._configurations = {
            (state, done - {operation.index} | self._impossible_writes(state)) for state, done in reached
        }
        self._reads_in_flight.discard(operation.index)
        self._writes_in_flight.discard(operation.index)

    def _configurations_after(self, start: Configuration, index: int) -> set[Configuration]:
        """Returns all configurations after an operation, reached by any of the writes in flight."""
        reached: set[Configuration] = set()
        seen = {start}
        to_visit = [start]
        while to_visit:
            state, done = to_visit.pop()
            if index in done:
                # Further writes in flight are searched at the completions that depend on them.
                reached.add((state, done))
                continue
            for next_configuration in self._configurations_after_one_write(state, done):
                if next_configuration not in seen:
                    seen.add(next_configuration)
                    to_visit.append(next_configuration)
        return reached

    def _configurations_after_one_write(
        self, state: RecordState, done: frozenset[int]
    ) -> list[Configuration]:
        """Returns the configurations after any one write in flight and the reads that observed its state."""
        configurations = []
        for index in self._writes_in_flight - done:
            write = self._operations[index]
            if write.written is None or not write.can_follow(state):
                continue
            reads = {
                read for read in self._reads_in_flight if self._operations[read].observed == write.written
            }
            configurations.append((write.written, done | {index} | reads))
        return configurations

    def _impossible_writes(self, state: RecordState) -> frozenset[int]:
        """Returns the writes of unknown outcome that can't take place any more.

        They are marked as done, since it makes no difference whether they took place. This reduces the number
        of configurations.
        """
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


def _shortest_violation(operations: list[Operation], unexplained: Operation) -> tuple[Operation, ...]:
    """Returns the shortest sequence of operations, up to `unexplained`, without an order from any state."""
    relevant = sorted(
        (operation for operation in operations if operation.invoked_us <= unexplained.completed_us),
        key=lambda operation: (operation.completed_us, operation.invoked_us),
    )
    initial_states = _possible_states(relevant)
    completed = [operation for operation in relevant if operation.completed_us <= unexplained.completed_us]
    in_flight = [operation for operation in relevant if operation.completed_us > unexplained.completed_us]
    for first in range(len(completed) - 1, -1, -1):
        window = completed[first:]
        if _Search([*window, *in_flight]).run(initial_states) is not None:
            return tuple(window)
    return tuple(completed)


def _possible_states(operations: list[Operation]) -> set[RecordState]:
    """Returns all states that the operations observed, wrote or expected."""
    states = {ABSENT}
    for operation in operations:
        if operation.observed is not None:
            states.add(operation.observed)
        if operation.written is not None:
            states.add(operation.written)
        if operation.expected_version > 0:
            states.add((operation.expected_version, ""))
    return states
