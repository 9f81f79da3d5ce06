"""The addresses of a run: which processes there are, and the links through which they reach each other."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from gradehoist.scenario.definition import Scenario
from gradehoist.testbed.scenario_plan import Address, Link, Relay, Replica

HOST = "127.0.0.1"

Governor = tuple[str, str, Address]  # name, zone and address, as the plan stores it


@dataclass(frozen=True)
class ConnectedProxies:
    """Proxies with their ports, and the links over which they reach the governors."""

    proxies: tuple[Relay, ...]
    links: tuple[Link, ...]


def list_roles(scenario: Scenario) -> list[str]:
    """The processes of test doubles, by the names of their roles."""
    zones = scenario.settings.fleet.zones
    proxy_roles = [f"relays-{zone}" for zone in zones]
    replica_roles = [f"replicas-{zone}" for zone in zones]
    return ["clients", "links", "roster", *proxy_roles, *replica_roles]


def count_ports(scenario: Scenario, replicas: list[Replica], proxies: list[Relay], roles: list[str]) -> int:
    """How many ports a run listens on."""
    governors = scenario.settings.governors
    endpoint_lists = 1
    processes = len(replicas) + len(proxies) + len(governors) + endpoint_lists + len(roles)
    replica_links = len(scenario.settings.fleet.zones) * len(replicas)
    governor_links = len(proxies) * len(governors)
    return processes + replica_links + governor_links


def link_replicas(scenario: Scenario, replicas: list[Replica], ports: Iterator[int]) -> list[Link]:
    """One link from each zone to each replica."""
    return [
        Link(
            port=next(ports),
            zone=zone,
            target=replica.name,
            target_zone=replica.zone,
            to=(HOST, replica.port),
        )
        for zone in scenario.settings.fleet.zones
        for replica in replicas
    ]


def connect_proxies(
    proxies: list[Relay], governors: tuple[Governor, ...], ports: Iterator[int]
) -> ConnectedProxies:
    """Gives each proxy its port and a link of its own to each governor."""
    links: list[Link] = []
    connected: list[Relay] = []
    for number, proxy in enumerate(proxies):
        addresses = []
        for name, zone, address in _order_governors(governors, proxy.zone, number):
            link = Link(
                port=next(ports),
                zone=proxy.zone,
                target=name,
                target_zone=zone,
                to=address,
                relay=proxy.name,
            )
            links.append(link)
            addresses.append((name, (HOST, link.port)))
        connected.append(msgspec.structs.replace(proxy, port=next(ports), governors=tuple(addresses)))
    return ConnectedProxies(proxies=tuple(connected), links=tuple(links))


def _order_governors(governors: tuple[Governor, ...], zone: str, offset: int) -> list[Governor]:
    """The order in which a proxy tries the governors: those of its zone first, else each proxy another."""
    start = offset % len(governors)
    rotated = [*governors[start:], *governors[:start]]
    return sorted(rotated, key=lambda governor: governor[1] != zone)
