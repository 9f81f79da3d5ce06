"""The platform's configuration file, read and checked whole; frozen records come out."""

from __future__ import annotations

import ipaddress
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from gradehoist import interface as i
from gradehoist.identifiers import Identifiers
from gradehoist.node.discovery import EndpointListUpdate, parse_update
from gradehoist.settings import platform

Address = tuple[str, int]


class ConfigError(Exception):
    """What is wrong with the configuration, where, and what to do: one line."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    name: str
    listen: Address
    discovery: Address
    socket_limit: int  # descriptors that the process may hold
    policy_config: i.PolicyConfig
    identifiers: Identifiers
    settings: dict[str, Any]
    cached_endpoints: EndpointListUpdate  # the list as this governor last had it


def parse_address(text: object) -> Address:
    """No names: looking one up would hold up the loop, and the platform has none. Raises ValueError."""
    host, _, port = str(text).rpartition(":")
    try:
        if not port.isdecimal() or not 0 < int(port) < 65_536:
            raise ValueError
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise ValueError(f"{str(text)[:60]!r} is no address; write it as IPV4:PORT") from None


def seed_from_text(text: object) -> int:
    """The module's seed is a number; any text gives one, hexadecimal or not."""
    return zlib.crc32(str(text).encode())


def load_config(path: Path) -> NodeConfig:
    """Raises Faulty."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}; name a readable file in ROUTER_CONFIG") from None
    except msgspec.DecodeError as fault:
        raise ConfigError(f"{path}: no JSON ({fault}); write the whole file anew") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{path}: no JSON object; write the whole file anew")
    where = ""
    try:
        where = "listen"
        listen = parse_address(document["listen"])
        where = "discovery"
        discovery = parse_address(document["discovery"])
        where = "limits.sockets"
        sockets = int(document.get("limits", {}).get("sockets", 1_024))
        if sockets < 64:
            raise ValueError(f"{sockets} are too few; allow 64 at least")
        where = "settings"
        settings = document["settings"]
        names = platform.parse_identifiers(settings)
        start = platform.parse_config(settings, names, seed_from_text(document.get("seed", "")))
        where = "known"
        saved = parse_update(document.get("known", {"revision": 0, "complete": True, "members": []}))
    except KeyError as fault:
        raise ConfigError(f"{path}: {where}: {fault} is missing; add it") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as fault:
        raise ConfigError(f"{path}: {where}: {fault}; correct it") from None
    return NodeConfig(
        str(document.get("name", "")), listen, discovery, sockets, start, names, settings, saved
    )
