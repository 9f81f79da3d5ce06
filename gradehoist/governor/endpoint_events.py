"""Converts updates of the endpoint list to events for the policies, and logs what changed.

This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from gradehoist.governor.core_state import CoreState
from gradehoist.interface import EndpointListKind, EndpointsListed
from gradehoist.protocol.feed import EndpointListUpdate, EndpointRecord


class ListChange(Enum):
    """The kind of change that an update of the endpoint list contains."""

    NONE = "none"
    ORDINARY = "ordinary"
    URGENT = "urgent"  # a replica is draining or gone


class EndpointEvents:
    """Sends list updates to the policies that own the replicas. The core owns it."""

    def __init__(self, state: CoreState) -> None:
        """Uses the endpoint list and the policies of the core."""
        self._identifiers = state.identifiers
        self._endpoint_list = state.endpoint_list
        self._policies = state.policies
        self._log = state.log
        self._logged_unowned: set[str] = set()  # replicas without a policy that have been logged

    def apply(self, now_us: int, update: EndpointListUpdate) -> ListChange:
        """Applies an update and notifies the policies.

        Raises:
            EndpointListGapError: the update does not follow the known version; request the complete list.
            InconsistentEndpointListError: the update contradicts the known list.
        """
        before = dict(self._endpoint_list.endpoints)
        invalid_before = dict(self._endpoint_list.invalid)
        listed = self._endpoint_list.apply(now_us, update)
        self._log_invalid(invalid_before)
        if listed is None:
            return ListChange.NONE
        self._send(listed)
        return self._log_changes(before)

    def load_cached(self, now_us: int, records: tuple[EndpointRecord, ...]) -> None:
        """Loads a list that an earlier run persisted."""
        self._send(self._endpoint_list.load_cached(now_us, records))

    def report_failure(self) -> None:
        """Notifies the policies that the requested list could not be obtained."""
        self._policies.broadcast(EndpointsListed(kind=EndpointListKind.FAILED, endpoints=()))

    def _send(self, listed: EndpointsListed) -> None:
        """Sends each policy its own replicas; a replica without a policy is logged once and skipped."""
        names = self._identifiers.replicas.names
        for policy in self._policies:
            endpoints = tuple(
                endpoint for endpoint in listed.endpoints if policy.owns_replica(names[endpoint.replica])
            )
            if endpoints or listed.kind is not EndpointListKind.DELTA:
                policy.events.append(EndpointsListed(kind=listed.kind, endpoints=endpoints))
        for endpoint in listed.endpoints:
            name = names[endpoint.replica]
            if name not in self._logged_unowned and not self._policies.owns_replica(name):
                self._logged_unowned.add(name)
                self._log.warning("replica_ignored", replica=name, reason="it is not in the placement")

    def _log_invalid(self, before: Mapping[str, str]) -> None:
        for replica, reason in self._endpoint_list.invalid.items():
            if before.get(replica) != reason:
                self._log.warning("endpoint_corrected", replica=replica, reason=reason)

    def _log_changes(self, before: Mapping[str, EndpointRecord]) -> ListChange:
        change = ListChange.ORDINARY
        after = self._endpoint_list.endpoints
        for name in dict.fromkeys((*before, *after)):
            old = before.get(name)
            new = after.get(name)
            old_phase = old.phase if old else "absent"
            new_phase = new.phase if new else "absent"
            if old_phase != new_phase:
                if new_phase != "ready":
                    change = ListChange.URGENT
                reason = f"endpoint list update; the phase was {old_phase}"
                self._log.info("replica_listed", replica=name, phase=new_phase, reason=reason)
            elif old and new and old.incarnation != new.incarnation:
                self._log.info("replica_restarted", replica=name, reason="its incarnation changed")
        return change
