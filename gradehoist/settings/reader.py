"""KDL nodes to values, gathering every error with its place.

kdl-py reads KDL 1 and hands its node converters a fragment that knows its line and column, so that an
error of meaning can be placed as well as one of syntax; ckdl, faster, gives no places at all.
"""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from kdl.errors import ParseError
from kdl.parsing import ParseConfig, Parser
from kdl.types import Node as Parsed

T = TypeVar("T")
_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m|h)")
_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}


class SettingsError(Exception):
    """Every error found, one line each: file, line, path of nodes, what was expected, the remedy."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


@dataclass
class Node:
    """One node with its place; reading a property takes it, `done` reports those nobody took."""

    name: str
    args: list[Any]
    props: dict[str, Any]
    children: list[Node]
    line: int
    reader: SettingsReader
    parent: Node | None = None
    read_keys: set[str] = field(default_factory=set)

    @property
    def path(self) -> str:
        own = self.name + (f' "{self.args[0]}"' if self.args and isinstance(self.args[0], str) else "")
        return f"{self.parent.path} > {own}" if self.parent else own

    def add_error(self, expected: str, remedy: str, where: str = "") -> None:
        place = f"{self.path} > {where}" if where else self.path
        self.reader.errors.append(f"{self.reader.file}:{self.line}: {place}: {expected}; {remedy}")

    def get(self, key: str, parse: Callable[[Any], T], default: T | None = None) -> T:
        """A property read by `read`, which raises ValueError saying what is expected."""
        self.read_keys.add(key)
        if key not in self.props:
            if default is None:
                self.add_error("missing", f"add {key}=…", key)
            return default  # type: ignore[return-value]  # a missing value is an error, told at the end
        try:
            return parse(self.props[key])
        except ValueError as fault:
            self.add_error(f"expected {fault}, got {self.props[key]!r}", "correct it", key)
            return default  # type: ignore[return-value]

    def get_name(self, what: str) -> str:
        """The node's only argument, a name."""
        if len(self.args) != 1 or not isinstance(self.args[0], str) or not self.args[0]:
            self.add_error(f"expected {what} in quotes", f'write {self.name} "…"')
            return ""
        return self.args[0]

    def get_names(self, what: str) -> tuple[str, ...]:
        if not self.args or not all(isinstance(a, str) and a for a in self.args):
            self.add_error(f"expected {what} in quotes", f'write {self.name} "…" "…"')
            return ()
        if len(set(self.args)) < len(self.args):
            self.add_error("a name stands twice", "name each once")
        return tuple(self.args)

    def child(self, name: str) -> Node | None:
        """The one child of that name, or None, which is an error unless the caller has a default."""
        self.read_keys.add("> " + name)
        found = [c for c in self.children if c.name == name]
        for extra in found[1:]:
            extra.add_error("stands twice", f"keep one {name}")
        return found[0] if found else None

    def require_child(self, name: str) -> Node:
        found = self.child(name)
        if found is None:
            self.add_error("missing", f"add a node {name}", name)
            return Node(name, [], {}, [], self.line, SettingsReader(self.reader.file), self)
        return found

    def children_named(self, name: str) -> list[Node]:
        self.read_keys.add("> " + name)
        return [c for c in self.children if c.name == name]

    def reject_unread(self, expected_args: int = 0) -> None:
        """Reports what nobody asked for, so that a misspelt setting is not passed over."""
        if len(self.args) > expected_args:
            self.add_error(f"{len(self.args)} values where {expected_args} are expected", "remove the others")
        for key in self.props:
            if key not in self.read_keys:
                known = ", ".join(sorted(k for k in self.read_keys if not k.startswith("> "))) or "none"
                self.add_error("unknown property", f"known here: {known}", key)
        for child in self.children:
            if "> " + child.name not in self.read_keys:
                known = ", ".join(sorted(k[2:] for k in self.read_keys if k.startswith("> "))) or "none"
                child.add_error("unknown node", f"known here: {known}")


class SettingsReader:
    """Reads one file; `finish` raises what was wrong, all of it at once."""

    def __init__(self, file: str) -> None:
        self.file, self.errors = file, list[str]()

    def parse(self, text: str) -> Node:
        """Raises SettingsError at once where the text is no KDL."""
        places: dict[int, int] = {}

        def place(node: Parsed, fragment: Any) -> Any:
            places[id(node)] = fragment.error("").line
            return node

        try:
            document = Parser(ParseConfig(nodeConverters={(..., ...): place})).parse(text)
        except ParseError as fault:
            reason = " ".join(str(fault).split(": ", 1)[-1].split())
            at = f"{fault.line}:{fault.col}"
            raise SettingsError([f"{self.file}:{at}: not KDL 1: {reason}; correct the syntax"]) from None
        root = Node("settings", [], {}, [], 1, self)
        root.children = [self._node(n, places, None) for n in document.nodes]
        return root

    def _node(self, node: Parsed, places: dict[int, int], parent: Node | None) -> Node:
        out = Node(node.name, list(node.args), dict(node.props), [], places.get(id(node), 1), self, parent)
        out.children = [self._node(n, places, out) for n in node.nodes]
        return out

    def raise_errors(self) -> None:
        if self.errors:
            raise SettingsError(self.errors)


def load_document(path: str | Path) -> tuple[SettingsReader, Node]:
    """Raises SettingsError where the file can't be read or is no KDL."""
    reader = SettingsReader(str(path))
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        reason = getattr(fault, "strerror", None) or "not UTF-8"
        raise SettingsError([f"{path}: can't be read: {reason}; name a settings file in KDL"]) from None
    return reader, reader.parse(text)


def parse_duration_us(value: Any) -> int:
    """Microseconds from "250ms", "2s" and the like, 31 days at most."""
    found = _TIME.fullmatch(value) if isinstance(value, str) and len(value) < 20 else None
    figure = float(found[1]) * _UNITS[found[2]] if found else math.inf
    if figure > 31 * 24 * _UNITS["h"]:
        raise ValueError('a time such as "250ms" or "2s", "744h" at most')
    return round(figure)


def duration_parser(least: str) -> Callable[[Any], int]:
    """A time that is divided by, or waited for in a loop."""

    def read(value: Any) -> int:
        if (found := parse_duration_us(value)) < parse_duration_us(least):
            raise ValueError(f'a time of "{least}" or more')
        return found

    return read


def number_parser(least: float, most: float) -> Callable[[Any], float]:
    def read(value: Any) -> float:
        good = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
        if not good or not least <= value <= most:
            raise ValueError(f"a number from {least:g} to {most:g}")
        return float(value)

    return read


def integer_parser(least: int, most: int) -> Callable[[Any], int]:
    def read(value: Any) -> int:
        try:
            figure = number_parser(least, most)(value)
        except ValueError:
            figure = 0.5
        if figure != int(figure):
            raise ValueError(f"a whole number from {least} to {most}")
        return int(figure)

    return read


def parse_boolean(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def parse_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("text in quotes")
    return value


def choice_parser(choices: Iterable[str]) -> Callable[[Any], str]:
    names = tuple(choices)

    def read(value: Any) -> str:
        if value not in names:
            raise ValueError("one of " + ", ".join(names))
        return str(value)

    return read


def names_parser(known: Iterable[str]) -> Callable[[Any], tuple[str, ...]]:
    """Names set apart by spaces or commas, each of them known."""
    allowed = tuple(known)

    def read(value: Any) -> tuple[str, ...]:
        found = tuple(re.split(r"[,\s]+", value.strip())) if isinstance(value, str) else ()
        if not found or any(n not in allowed for n in found):
            raise ValueError("names out of " + ", ".join(allowed))
        return found

    return read


def parse_address(value: Any) -> tuple[str, int]:
    """host:port; raises ValueError unless the host is a dotted address and the port a free number."""
    if not isinstance(value, str):
        raise ValueError('an address such as "127.0.0.1:7101"')
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        good = 0 < int(port) < 65_536
    except ValueError:
        good = False
    if not good:
        raise ValueError('an address such as "127.0.0.1:7101"')
    return host, int(port)
