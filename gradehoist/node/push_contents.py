"""Composes the contents of one message to a proxy from the deltas that concern it."""

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
    """The contents of one message; the last of several deltas for a line, replica or class applies."""

    def __init__(self, tables: PublishedTables, bindings: Mapping[int, int], restored: Iterable[str]) -> None:
        """Starts a message that restores `restored`; `bindings` maps the proxy's classes to tables."""
        self._tables = tables
        self._bindings = bindings
        self._classes_by_table: dict[int, list[int]] = {}
        for request_class, table in bindings.items():
            self._classes_by_table.setdefault(table, []).append(request_class)
        self._withdrawn: dict[str, bool] = dict.fromkeys(restored, False)
        self._weights: dict[int, dict[str, float]] = {}
        self._snapshots: set[int] = set()  # tables to be sent in full
        self._admission_classes: dict[int, None] = {}  # an ordered set, in sending order

    def apply(self, delta: Delta) -> None:
        """Adds one delta; deltas that the platform's line protocol cannot express are ignored."""
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
        """Returns the parts of the message, withdrawals first; a `revision` requests an acknowledgement."""
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
            # A proxy that receives a full table discards the admission limits of the table's classes.
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
        """Returns the names of classes, or an empty tuple for all classes, as push messages encode them."""
        names = self._tables.identifiers.classes.names
        if len(classes) == len(names):
            return ()
        return tuple(names[number] for number in sorted(classes))

    def _admission_limit(self, request_class: int, table: int | None) -> Admission | None:
        """Returns the lower of the table's and the common admitted share, with the table's retry policy."""
        common = self._tables.admission.get((None, request_class))
        table_limit = self._tables.admission.get((table, request_class)) if table is not None else None
        if table_limit is None:
            return common
        if common is None:
            return table_limit
        return Admission(min(table_limit.admitted_share, common.admitted_share), table_limit.retry_policy)
