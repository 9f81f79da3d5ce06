"""Hosts module instances: one decision instance a governor, each with its own names and clock only."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TextIO

from gradehoist.adapter import wire
from gradehoist.interface import EndpointListKind, EndpointsListed, Event, Policy, PolicyConfig
from gradehoist.policy.planner import Planner
from gradehoist.settings.platform import seconds_to_us


@dataclass
class Instance:
    names: wire.WireIdentifiers
    module: Policy | None = None
    waiting: list[Event] = field(default_factory=list)
    crashed: str = ""


class Host:
    """Takes the wire line by line; `feed` answers with a reply's text when a batch ends."""

    def __init__(self, errors: TextIO, make: Callable[[PolicyConfig, int], Policy] = Planner) -> None:
        self.errors = errors
        self.make = make
        self.instances: dict[int, Instance] = {}
        self.sheets: dict[int, list[wire.Fields]] = {}
        self.now_us = 0
        self.target: int | None = None
        self.filling: list[wire.Fields] = []
        self.missing = 0
        self.number = 0

    def complain(self, line: str, why: object) -> None:
        self.errors.write(f"line {self.number}: {why}: {line[:300]}\n")
        self.errors.flush()

    def handle_line(self, line: str) -> str | None:
        self.number += 1
        if not line.strip():
            return None
        try:
            name, fields = wire.parse_line(line)
            if name == "OVER_TO_YOU":
                return self.answer()
            self.take(name, fields)
        except (ValueError, KeyError, TypeError, OverflowError) as fault:
            self.complain(line, f"skipped ({type(fault).__name__}: {fault})")
        return None

    def take(self, name: str, fields: wire.Fields) -> None:
        if name == "ITEM":
            if self.missing <= 0:
                raise ValueError("an entry outside a list")
            self.missing -= 1
            wire.check_endpoint(fields)
            self.filling.append(fields)
            return
        self.missing = 0
        if name == "TICK":
            self.now_us = seconds_to_us(fields["at-time"])
            self.target = None
        elif name == "SHEET":
            count, slot = int(fields["records"]), int(fields["slot"])
            self.filling = []
            self.sheets[slot] = self.filling
            self.missing = count
        elif name == "TARGET_INSTANCE":
            self.target = None
            self.target = int(fields["governor"])
        else:
            self.deliver(name, fields)

    def deliver(self, name: str, fields: wire.Fields) -> None:
        if name not in wire.EVENTS:
            raise ValueError("unknown message")
        if self.target is None:
            raise ValueError("no instance named")
        if name == "BOOT":
            self.boot(self.target, fields)
            return
        instance = self.instances.get(self.target)
        if instance is None:
            raise ValueError("an event for an instance that was not started")
        if name == "DESTROY":
            del self.instances[self.target]
        elif name == "VIEW":
            kind = wire.LIST_KINDS[fields["kind"]]
            entries: tuple[wire.Fields, ...] = ()
            if kind is not EndpointListKind.FAILED:
                entries = tuple(self.sheets[int(fields["slot"])])
            instance.waiting.append(
                EndpointsListed(kind, tuple(wire.parse_endpoint(instance.names, e) for e in entries))
            )
        else:
            instance.waiting.append(wire.parse_event(instance.names, name, fields))

    def boot(self, number: int, fields: wire.Fields) -> None:
        names, start = wire.parse_config(fields)
        instance = Instance(names)
        self.instances[number] = instance
        try:
            instance.module = self.make(start, self.now_us)
        except Exception as fault:  # a fault of the module is told on the wire, not hidden
            instance.crashed = f"{type(fault).__name__}: {fault}"
            instance.waiting.clear()

    def answer(self) -> str:
        self.missing = 0
        out: list[str] = []
        for number in sorted(self.instances):
            instance = self.instances[number]
            if instance.crashed:
                out += [f"ON_BEHALF governor={number}", wire.format_crash(instance.crashed)]
                instance.crashed = ""
            if not instance.waiting or instance.module is None:
                instance.waiting = []
                continue
            events, instance.waiting = instance.waiting, []
            try:
                lines = [
                    wire.format_order(instance.names, o) for o in instance.module.handle(self.now_us, events)
                ]
            except Exception as fault:
                lines = [wire.format_crash(f"{type(fault).__name__}: {fault}")]
                instance.module = None
                self.errors.write(f"instance {number} failed: {fault!r}\n")
            if lines:
                out.append(f"ON_BEHALF governor={number}")
                out += lines
        out.append("NEXT\n")
        return "\n".join(out)
