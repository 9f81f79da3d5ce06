"""Collects the steps of one fault and samples its targets."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from gradehoist.scenario.faults.fault import EndpointListDelays, Fault
from gradehoist.testbed.scenario_plan import Plan, ReplicaPlan, Step

RUNNER_ROLE = "day"
CLIENTS_ROLE = "clients"
LINKS_ROLE = "links"
ENDPOINT_LIST_ROLE = "roster"

NO_LINK_FAULTS: dict[str, Any] = {}
BLACKHOLE = {"hole": True}  # Connections stay open, and nothing is forwarded.
REFUSE_CONNECTIONS = {"refuse": True}


class FaultSteps:
    """The steps of one fault. Its commands have the names and fields that the test doubles expect."""

    def __init__(self, plan: Plan, fault: Fault, delays: EndpointListDelays, random: Random) -> None:
        """Creates an empty collection; `random` is the fault's own generator."""
        self.plan = plan
        self.fault = fault
        self.delays = delays
        self.random = random
        self.steps: list[Step] = []
        self._zone_by_replica = {replica.name: replica.zone for replica in plan.replicas}

    # Targets

    def choose_replicas(self) -> list[str]:
        """Samples the affected share of the listed replicas of the fault's zone and kind, at least one."""
        candidates = [
            replica for replica in self.plan.replicas if replica.is_listed and self._is_candidate(replica)
        ]
        count = max(1, round(self.fault.affected_share * len(candidates)))
        chosen = self.random.sample(candidates, min(count, len(candidates)))
        return [replica.name for replica in chosen]

    def choose_proxies(self) -> list[str]:
        """Samples the affected share of the proxies of the fault's zone, or of all, at least one."""
        candidates = [
            proxy.name for proxy in self.plan.proxies if not self.fault.zone or proxy.zone == self.fault.zone
        ]
        return self.random.sample(candidates, max(1, round(self.fault.affected_share * len(candidates))))

    def choose_zone(self) -> str:
        """Returns the fault's zone, or a random one if it has none."""
        return self.fault.zone or self.random.choice(self.plan.zones)

    def proxies_of(self, zone: str) -> list[str]:
        """Returns the names of the proxies of a zone."""
        return [proxy.name for proxy in self.plan.proxies if proxy.zone == zone]

    def governors(self) -> list[str]:
        """Returns the names of all governors."""
        return [name for name, _, _ in self.plan.governors]

    def _is_candidate(self, replica: ReplicaPlan) -> bool:
        if self.fault.zone and replica.zone != self.fault.zone:
            return False
        return not self.fault.replica_kind or replica.kind == self.fault.replica_kind

    # Commands

    def add_command(self, at_us: int, role: str, name: str, **fields: Any) -> None:
        """Adds a command for the process of a role."""
        self.steps.append(Step(at_us=at_us, role=role, command={"do": name, **fields}))

    def add_replica_commands(self, at_us: int, name: str, replicas: Iterable[str], value: Any = None) -> None:
        """Adds a command for replicas, one for each of the processes that run them."""
        by_zone: dict[str, list[str]] = {}
        for replica in replicas:
            by_zone.setdefault(self._zone_by_replica[replica], []).append(replica)
        for zone, in_zone in by_zone.items():
            self.add_command(at_us, f"replicas-{zone}", name, replicas=in_zone, value=value)

    def set_listed_phase(
        self, at_us: int, replicas: list[str], phase: str, *, restarted: bool = False, ago_us: int = 0
    ) -> None:
        """Sets the phase of replicas in the endpoint list; `ago_us` is the time since they restarted."""
        self.add_command(
            at_us,
            ENDPOINT_LIST_ROLE,
            "list",
            replicas=replicas,
            phase=phase,
            restarted=restarted,
            ago=ago_us,
        )

    def inject_link_faults(self, at_us: int, link_faults: dict[str, Any], **links: Any) -> None:
        """Replaces the faults of the selected links; `NO_LINK_FAULTS` ends all faults."""
        self.add_command(at_us, LINKS_ROLE, "injure", harm=link_faults, **links)

    def scale_requests(self, at_us: int, proxies: list[str], factor: float) -> None:
        """Multiplies the planned request rate of some proxies by `factor`."""
        self.add_command(at_us, CLIENTS_ROLE, "factor", relays=proxies, value=factor)

    # Sequences that several kinds share

    def kill_replicas(self, at_us: int, replicas: list[str]) -> None:
        """Stops replicas; the endpoint list shows them as gone after its delay for exited processes."""
        self.stop_replicas(at_us, replicas, REFUSE_CONNECTIONS)
        self.set_listed_phase(at_us + self.delays.ended_us, replicas, "gone")

    def blackhole_replicas(self, at_us: int, replicas: list[str]) -> None:
        """Stops replicas and blackholes their links; the endpoint list shows it after its longer delay."""
        self.stop_replicas(at_us, replicas, BLACKHOLE)
        self.set_listed_phase(at_us + self.delays.silent_us, replicas, "gone")

    def stop_replicas(self, at_us: int, replicas: list[str], link_faults: dict[str, Any]) -> None:
        """Stops replicas and sets the faults of their links; the endpoint list stays unchanged."""
        self.inject_link_faults(at_us, link_faults, targets=replicas)
        self.add_replica_commands(at_us, "die", replicas)

    def drain_replicas(self, at_us: int, replicas: list[str]) -> None:
        """Lists replicas as draining and stops them `extra_us` later."""
        listed_us = at_us + self.delays.added_us
        self.set_listed_phase(listed_us, replicas, "draining")
        self.kill_replicas(listed_us + self.fault.extra_us, replicas)

    def restart_replicas(self, at_us: int, replicas: list[str]) -> None:
        """Starts replicas, which then warm up, and lists them as ready."""
        self.add_replica_commands(at_us, "start", replicas)
        self.inject_link_faults(at_us, NO_LINK_FAULTS, targets=replicas)
        added_us = self.delays.added_us
        self.set_listed_phase(at_us + added_us, replicas, "ready", restarted=True, ago_us=added_us)
