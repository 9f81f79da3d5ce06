"""Hosts one policy instance for each governor of the simulation, each with its own identifiers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TextIO

from gradehoist.adapter import wire
from gradehoist.adapter.errors import WireError
from gradehoist.adapter.orders import format_crash, format_order
from gradehoist.adapter.wire import Fields, WireIdentifiers, WireMessage
from gradehoist.interface import EndpointListKind, EndpointsListed, Event, Policy, PolicyConfig
from gradehoist.policy.planner import Planner
from gradehoist.settings.platform import seconds_to_us

MAX_LOGGED_LINE_LENGTH = 300
INSTANCE_MESSAGES = frozenset({"BOOT", "DESTROY", "VIEW"})


@dataclass
class Instance:
    """One policy instance, and its events since the last reply."""

    identifiers: WireIdentifiers
    policy: Policy | None = None  # None once it has failed
    pending_events: list[Event] = field(default_factory=list)
    unreported_failure: str = ""


class Host:
    """Processes the wire protocol line by line, and returns one reply for each batch."""

    def __init__(self, errors: TextIO, make_policy: Callable[[PolicyConfig, int], Policy] = Planner) -> None:
        """Create a host without instances; it logs each line of the wire that it skips to `errors`."""
        self.now_us = 0
        self._errors = errors
        self._make_policy = make_policy
        self._instances: dict[int, Instance] = {}
        self._target: int | None = None  # number of the instance that the next events are for
        self._endpoint_lists: dict[int, list[Fields]] = {}  # by slot
        self._open_list: list[Fields] = []  # the endpoint list that is being received
        self._endpoints_missing = 0  # entries still to come for the open list
        self._line_number = 0

    def handle_line(self, line: str) -> str | None:
        """Process one line; return a reply if it ends a batch. Malformed lines are logged and skipped."""
        self._line_number += 1
        if not line.strip():
            return None
        try:
            message = wire.parse_line(line)
            if message.name == "OVER_TO_YOU":
                return self._end_batch()
            self._process(message)
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            self._log_skipped(line, error)
        return None

    def _log_skipped(self, line: str, error: Exception) -> None:
        reason = f"skipped ({type(error).__name__}: {error})"
        self._errors.write(f"line {self._line_number}: {reason}: {line[:MAX_LOGGED_LINE_LENGTH]}\n")
        self._errors.flush()

    def _process(self, message: WireMessage) -> None:
        if message.name == "ITEM":
            self._add_endpoint(message.fields)
            return
        self._endpoints_missing = 0
        match message.name:
            case "TICK":
                self.now_us = seconds_to_us(message.fields["at-time"])
                self._target = None
            case "SHEET":
                self._begin_endpoint_list(message.fields)
            case "TARGET_INSTANCE":
                self._target = None  # No target remains if the number is malformed.
                self._target = int(message.fields["governor"])
            case _:
                self._process_instance_message(message)

    def _begin_endpoint_list(self, fields: Fields) -> None:
        count = int(fields["records"])
        slot = int(fields["slot"])
        self._open_list = []
        self._endpoint_lists[slot] = self._open_list
        self._endpoints_missing = count

    def _add_endpoint(self, fields: Fields) -> None:
        if self._endpoints_missing <= 0:
            raise WireError("endpoint entry outside an endpoint list")
        self._endpoints_missing -= 1
        wire.check_endpoint(fields)
        self._open_list.append(fields)

    def _process_instance_message(self, message: WireMessage) -> None:
        if message.name not in INSTANCE_MESSAGES and not wire.is_event(message.name):
            raise WireError("unknown message")
        if self._target is None:
            raise WireError("no target instance")
        if message.name == "BOOT":
            self._boot(self._target, message.fields)
            return
        instance = self._instances.get(self._target)
        if instance is None:
            raise WireError("event for an instance that was not started")
        if message.name == "DESTROY":
            del self._instances[self._target]
        elif message.name == "VIEW":
            instance.pending_events.append(self._endpoints_listed(instance, message.fields))
        else:
            instance.pending_events.append(wire.parse_event(instance.identifiers, message))

    def _endpoints_listed(self, instance: Instance, fields: Fields) -> EndpointsListed:
        kind = wire.ENDPOINT_LIST_KINDS[fields["kind"]]
        if kind is EndpointListKind.FAILED:
            return EndpointsListed(kind, ())
        listed = self._endpoint_lists[int(fields["slot"])]
        endpoints = [wire.parse_endpoint(instance.identifiers, endpoint) for endpoint in listed]
        return EndpointsListed(kind, tuple(endpoints))

    def _boot(self, number: int, fields: Fields) -> None:
        identifiers, config = wire.parse_config(fields)
        instance = Instance(identifiers)
        self._instances[number] = instance
        try:
            instance.policy = self._make_policy(config, self.now_us)
        except Exception as error:  # noqa: BLE001 - process boundary: the failure is reported on the wire
            instance.unreported_failure = f"{type(error).__name__}: {error}"

    def _end_batch(self) -> str:
        self._endpoints_missing = 0
        reply: list[str] = []
        for number in sorted(self._instances):
            instance = self._instances[number]
            if instance.unreported_failure:
                reply += [f"ON_BEHALF governor={number}", format_crash(instance.unreported_failure)]
                instance.unreported_failure = ""
            orders = self._run_policy(number, instance)
            if orders:
                reply += [f"ON_BEHALF governor={number}", *orders]
        reply.append("NEXT\n")
        return "\n".join(reply)

    def _run_policy(self, number: int, instance: Instance) -> list[str]:
        """Pass an instance its pending events; return its orders as lines of the wire."""
        events, instance.pending_events = instance.pending_events, []
        if not events or instance.policy is None:
            return []
        try:
            orders = instance.policy.handle(self.now_us, events)
            return [format_order(instance.identifiers, order) for order in orders]
        except Exception as error:  # noqa: BLE001 - process boundary: the failure is reported on the wire
            instance.policy = None
            self._errors.write(f"instance {number} failed: {error!r}\n")
            return [format_crash(f"{type(error).__name__}: {error}")]
