"""The node's copy of the endpoint list, which is updated from one or more watches.

After SIGHUP the watch on the previous address stays open beside the new one, so updates may arrive twice,
late and in any order. No order of arrival may undo or hide a drain.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from gradehoist.interface import Phase
from gradehoist.node.discovery import DiscoveredEndpoint, EndpointListUpdate

NO_WATCH = 0  # watch id of the endpoint list from the configuration file


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint of the list; only the address may be unknown."""

    replica: str
    address: str | None
    zone: str
    kind: str
    cell: int
    phase: Phase
    size: float
    started_us: int  # Unix time; 0 means long ago


class _LastUpdate(NamedTuple):
    """Revision and watch of the update from which an endpoint was last taken."""

    revision: int
    watch_id: int


_NEVER_UPDATED = _LastUpdate(revision=0, watch_id=NO_WATCH)


class EndpointList:
    """The endpoints listed by discovery, by replica name."""

    def __init__(self) -> None:
        """Creates an empty list at revision 0."""
        self.revision = 0
        self.endpoints: dict[str, ListedEndpoint] = {}
        self._watch_revisions: dict[int, int] = {}  # by watch id: the last revision that an open watch sent
        self._stale_watches = set[int]()  # open watches whose snapshot was rejected as outdated
        self._last_updates: dict[str, _LastUpdate] = {}

    def apply_update(
        self, update: EndpointListUpdate, watch_id: int = NO_WATCH
    ) -> list[ListedEndpoint] | None:
        """Applies an update and returns the endpoints to report, or None if it brings nothing new.

        Only the drains and exits of an outdated update are applied. A delta is outdated if its revision is
        not newer than the list's. A snapshot is outdated if it is older than both the list and the last
        revision of another open watch. If no other watch is open, an older snapshot means that discovery has
        restarted its revisions, and the snapshot replaces the list.
        """
        is_outdated = self._is_outdated(update, watch_id)
        if watch_id != NO_WATCH:
            self._record_progress(update, watch_id, is_outdated)
        changed = []
        for received in update.endpoints:
            known = self.endpoints.get(received.replica)
            if is_outdated and not self._is_new_drain(received, known, update.revision, watch_id):
                continue
            endpoint = _fill_missing_fields(received, known)
            if endpoint is not None:
                changed.append(endpoint)
        if not is_outdated:
            self.revision = update.revision
        source = _LastUpdate(update.revision, watch_id)
        self._last_updates |= {endpoint.replica: source for endpoint in changed}
        if update.is_snapshot and not is_outdated:
            self._replace_all(changed)
            return changed
        if is_outdated and not changed:
            return None
        self._merge(changed)
        return changed

    def end_watch(self, watch_id: int) -> list[int]:
        """Removes a watch that has ended.

        Returns:
            The ids of the watches to reopen. Their snapshots were rejected because the ended watch had sent a
            newer revision, and they have not caught up since. After they are reopened, their first snapshot
            is applied whatever its revision.
        """
        self._watch_revisions.pop(watch_id, None)
        self._stale_watches.discard(watch_id)
        if any(revision >= self.revision for revision in self._watch_revisions.values()):
            return []
        return sorted(self._stale_watches)

    def _is_outdated(self, update: EndpointListUpdate, watch_id: int) -> bool:
        if not update.is_snapshot:
            return update.revision <= self.revision
        others = [revision for other, revision in self._watch_revisions.items() if other != watch_id]
        return update.revision < min(max(others, default=update.revision), self.revision)

    def _record_progress(self, update: EndpointListUpdate, watch_id: int, is_outdated: bool) -> None:
        self._watch_revisions[watch_id] = update.revision
        if update.is_snapshot and is_outdated:
            self._stale_watches.add(watch_id)
        elif update.is_snapshot or update.revision >= self.revision:
            self._stale_watches.discard(watch_id)

    def _is_new_drain(
        self,
        received: DiscoveredEndpoint,
        known: ListedEndpoint | None,
        revision: int,
        watch_id: int,
    ) -> bool:
        """Whether an outdated entry reports a drain or an exit of an endpoint that is listed as ready."""
        if received.phase not in (Phase.DRAINING, Phase.GONE):
            return False
        if known is None or known.phase is not Phase.READY:
            return False
        if received.started_us not in (None, known.started_us):
            return False
        # Ignore a drain that another watch has already reported as over: otherwise a watch that is behind
        # would drain for ever a replica that has come back. A drain from the watch that last updated the
        # replica is applied whatever its revision.
        last = self._last_updates.get(received.replica, _NEVER_UPDATED)
        return revision >= last.revision or last.watch_id == watch_id

    def _replace_all(self, endpoints: Iterable[ListedEndpoint]) -> None:
        endpoints = list(endpoints)
        self._last_updates = {
            endpoint.replica: self._last_updates[endpoint.replica] for endpoint in endpoints
        }
        self.endpoints = {
            endpoint.replica: endpoint for endpoint in endpoints if endpoint.phase is not Phase.GONE
        }

    def _merge(self, endpoints: Iterable[ListedEndpoint]) -> None:
        for endpoint in endpoints:
            if endpoint.phase is Phase.GONE:
                self.endpoints.pop(endpoint.replica, None)
                self._last_updates.pop(endpoint.replica, None)
            else:
                self.endpoints[endpoint.replica] = endpoint


def _fill_missing_fields(received: DiscoveredEndpoint, known: ListedEndpoint | None) -> ListedEndpoint | None:
    """Replaces malformed fields by their last known values; returns None if no zone is known."""
    zone = received.zone
    if zone is None and known is not None:
        zone = known.zone
    if zone is None:
        return None
    base = known or ListedEndpoint(
        replica=received.replica,
        address=None,
        zone=zone,
        kind="",
        cell=0,
        phase=Phase.DRAINING,
        size=1.0,
        started_us=0,
    )
    return ListedEndpoint(
        replica=received.replica,
        address=received.address or base.address,
        zone=zone,
        kind=received.kind or base.kind,
        cell=base.cell if received.cell is None else received.cell,
        # An unknown phase counts as draining: no new requests go there, and those in flight may complete.
        phase=received.phase or Phase.DRAINING,
        size=base.size if received.size is None else received.size,
        started_us=base.started_us if received.started_us is None else received.started_us,
    )
