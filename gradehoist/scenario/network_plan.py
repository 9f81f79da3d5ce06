"""Assigns ports to the processes of a run and to the links through which they connect to each other."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from gradehoist.scenario.definition import Scenario
from gradehoist.testbed.scenario_plan import Address, LinkPlan, ProxyPlan, ReplicaPlan

HOST = "127.0.0.1"

Governor = tuple[str, str, Address]  # The name, zone and address of a governor, as stored in the plan.


@dataclass(frozen=True)
class ConnectedProxies:
    """Proxies with their ports, and their links to the governors."""

    proxies: tuple[ProxyPlan, ...]
    links: tuple[LinkPlan, ...]


def list_roles(scenario: Scenario) -> list[str]:
    """Returns the roles of the test doubles; each role is a process."""
    zones = scenario.settings.fleet.zones
    proxy_roles = [f"relays-{zone}" for zone in zones]
    replica_roles = [f"replicas-{zone}" for zone in zones]
    return ["clients", "links", "roster", *proxy_roles, *replica_roles]


def count_ports(
    scenario: Scenario, replicas: list[ReplicaPlan], proxies: list[ProxyPlan], roles: list[str]
) -> int:
    """Returns the number of ports that a run listens on."""
    governors = scenario.settings.governors
    endpoint_lists = 1
    processes = len(replicas) + len(proxies) + len(governors) + endpoint_lists + len(roles)
    replica_links = len(scenario.settings.fleet.zones) * len(replicas)
    governor_links = len(proxies) * len(governors)
    return processes + replica_links + governor_links


def link_replicas(scenario: Scenario, replicas: list[ReplicaPlan], ports: Iterator[int]) -> list[LinkPlan]:
    """Creates a link from each zone to each replica."""
    return [
        LinkPlan(
            port=next(ports),
            zone=zone,
            target=replica.name,
            target_zone=replica.zone,
            address=(HOST, replica.port),
        )
        for zone in scenario.settings.fleet.zones
        for replica in replicas
    ]


def connect_proxies(
    proxies: list[ProxyPlan], governors: tuple[Governor, ...], ports: Iterator[int]
) -> ConnectedProxies:
    """Assigns each proxy its port and creates its links, one to each governor."""
    links: list[LinkPlan] = []
    connected: list[ProxyPlan] = []
    for number, proxy in enumerate(proxies):
        addresses = []
        for name, zone, address in _order_governors(governors, proxy.zone, number):
            link = LinkPlan(
                port=next(ports),
                zone=proxy.zone,
                target=name,
                target_zone=zone,
                address=address,
                proxy=proxy.name,
            )
            links.append(link)
            addresses.append((name, (HOST, link.port)))
        connected.append(msgspec.structs.replace(proxy, port=next(ports), governors=tuple(addresses)))
    return ConnectedProxies(proxies=tuple(connected), links=tuple(links))


def _order_governors(governors: tuple[Governor, ...], zone: str, offset: int) -> list[Governor]:
    """Returns the governors in the order in which a proxy tries them.

    Those of its own zone come first. `offset` rotates the others, so that the proxies spread over them.
    """
    start = offset % len(governors)
    rotated = [*governors[start:], *governors[:start]]
    return sorted(rotated, key=lambda governor: governor[1] != zone)
