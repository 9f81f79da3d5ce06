"""The platform's configuration file, read and checked whole; frozen records come out."""

from __future__ import annotations

import ipaddress
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from gradehoist import interface as i
from gradehoist.identifiers import Names
from gradehoist.node.discovery import Change, changes
from gradehoist.settings import platform

Address = tuple[str, int]


class Faulty(Exception):
    """What is wrong with the configuration, where, and what to do: one line."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    sockets: int  # descriptors that the process may hold
    start: i.Start
    names: Names
    settings: dict[str, Any]
    saved: Change  # the list as this governor last had it


def address(text: object) -> Address:
    """No names: looking one up would hold up the loop, and the platform has none. Raises ValueError."""
    host, _, port = str(text).rpartition(":")
    try:
        if not port.isdecimal() or not 0 < int(port) < 65_536:
            raise ValueError
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise ValueError(f"{str(text)[:60]!r} is no address; write it as IPV4:PORT") from None


def seed(text: object) -> int:
    """The module's seed is a number; any text gives one, hexadecimal or not."""
    return zlib.crc32(str(text).encode())


def load(path: Path) -> Config:
    """Raises Faulty."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as fault:
        raise Faulty(f"{path}: {fault.strerror}; name a readable file in ROUTER_CONFIG") from None
    except msgspec.DecodeError as fault:
        raise Faulty(f"{path}: no JSON ({fault}); write the whole file anew") from None
    if not isinstance(document, dict):
        raise Faulty(f"{path}: no JSON object; write the whole file anew")
    where = ""
    try:
        where = "listen"
        listen = address(document["listen"])
        where = "discovery"
        discovery = address(document["discovery"])
        where = "limits.sockets"
        sockets = int(document.get("limits", {}).get("sockets", 1_024))
        if sockets < 64:
            raise ValueError(f"{sockets} are too few; allow 64 at least")
        where = "settings"
        settings = document["settings"]
        names = platform.names(settings)
        start = platform.start(settings, names, seed(document.get("seed", "")))
        where = "known"
        saved = changes(document.get("known", {"revision": 0, "complete": True, "members": []}))
    except KeyError as fault:
        raise Faulty(f"{path}: {where}: {fault} is missing; add it") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as fault:
        raise Faulty(f"{path}: {where}: {fault}; correct it") from None
    return Config(str(document.get("name", "")), listen, discovery, sockets, start, names, settings, saved)
