"""What one message to a proxy says, composed from the deltas that concern it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from gradehoist.governor.tables import Admission, PublishedTables
from gradehoist.protocol.feed import (
    AdmissionDelta,
    BindDelta,
    ClearDelta,
    Delta,
    RestorationDelta,
    WeightDelta,
    WithdrawalDelta,
)
from gradehoist.protocol.lines import PushPart


class PushContents:
    """The contents of one message: of several deltas on one line, replica or class the last one holds."""

    def __init__(self, tables: PublishedTables, bindings: Mapping[int, int], restored: Iterable[str]) -> None:
        """Begins a message to a proxy with these bindings, class to table, that restores these replicas."""
        self._tables = tables
        self._bindings = bindings
        self._classes_by_table: dict[int, list[int]] = {}
        for request_class, table in bindings.items():
            self._classes_by_table.setdefault(table, []).append(request_class)
        self._withdrawn: dict[str, bool] = dict.fromkeys(restored, False)
        self._weights: dict[int, dict[str, float]] = {}
        self._snapshots: set[int] = set()  # tables that are sent in full
        self._admission_classes: dict[int, None] = {}  # in the order in which they are sent

    def apply(self, delta: Delta) -> None:
        """Adds one delta; those that have no place on the platform's streams are ignored."""
        match delta:
            case BindDelta(table=table, weights=weights):
                self._start_snapshot(table, dict(weights))
            case ClearDelta(table=table):
                self._start_snapshot(table, {})
            case WeightDelta(table=table, replica=replica, weight=weight):
                self._weights.setdefault(table, {})[replica] = weight
            case WithdrawalDelta(replica=replica):
                self._withdrawn[replica] = True
            case RestorationDelta(replica=replica):
                self._withdrawn[replica] = False
            case AdmissionDelta():
                self._add_admission(delta)

    def _start_snapshot(self, table: int, weights: dict[str, float]) -> None:
        self._snapshots.add(table)
        self._weights[table] = weights

    def _add_admission(self, delta: AdmissionDelta) -> None:
        classes = [self._tables.identifiers.classes[name] for name in delta.classes]
        self._admission_classes |= dict.fromkeys(
            number for number in classes if delta.table is None or self._bindings.get(number) == delta.table
        )

    def parts(self, revision: int | None) -> list[PushPart]:
        """The parts of the message, withdrawals first. `revision` asks for an acknowledgement."""
        self._finish_snapshots()
        parts = [*self._table_parts(), *self._admission_parts()]
        withdrawn = tuple(replica for replica, is_out in self._withdrawn.items() if is_out)
        restored = tuple(replica for replica, is_out in self._withdrawn.items() if not is_out)
        if withdrawn or restored or revision is not None or not parts:
            parts.insert(0, PushPart(withdrawn=withdrawn, restored=restored, revision=revision))
        return parts

    def _finish_snapshots(self) -> None:
        for table in self._snapshots:
            weights = self._weights[table]
            self._weights[table] = {replica: weight for replica, weight in weights.items() if weight > 0}
            # A table sent in full makes the proxy forget the admission limits of its classes.
            self._admission_classes |= dict.fromkeys(self._classes_by_table.get(table, []))

    def _table_parts(self) -> list[PushPart]:
        parts = []
        for table, weights in self._weights.items():
            is_snapshot = table in self._snapshots
            classes = self._classes_by_table.get(table)
            if classes is None or not (weights or is_snapshot):
                continue
            part = PushPart(
                classes=self._class_names(classes), is_snapshot=is_snapshot, weights=tuple(weights.items())
            )
            parts.append(part)
        return parts

    def _admission_parts(self) -> list[PushPart]:
        classes_by_limit: dict[Admission, list[int]] = {}
        for request_class in self._admission_classes:
            limit = self._admission_limit(request_class, self._bindings.get(request_class))
            if limit is not None:
                classes_by_limit.setdefault(limit, []).append(request_class)
        return [
            PushPart(classes=self._class_names(classes), admission=limit)
            for limit, classes in classes_by_limit.items()
        ]

    def _class_names(self, classes: list[int]) -> tuple[str, ...]:
        """Empty where all classes are meant, which is how a push names them."""
        names = self._tables.identifiers.classes.names
        if len(classes) == len(names):
            return ()
        return tuple(names[number] for number in sorted(classes))

    def _admission_limit(self, request_class: int, table: int | None) -> Admission | None:
        """The lower of the table's share and the common one, with the table's own retry policy."""
        common = self._tables.admission.get((None, request_class))
        own = self._tables.admission.get((table, request_class)) if table is not None else None
        if own is None:
            return common
        if common is None:
            return own
        return Admission(min(own.admitted_share, common.admitted_share), own.retry_policy)
