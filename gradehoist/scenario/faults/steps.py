"""Collects the steps of one fault and draws what it strikes."""

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

NO_LINK_FAULTS: dict[str, Any] = {}  # the injury of a link that works as usual
BLACKHOLE = {"hole": True}  # connections stay open and carry nothing
REFUSE_CONNECTIONS = {"refuse": True}


class FaultSteps:
    """The steps of one fault; the orders' names and fields are those of the test doubles' control ports."""

    def __init__(self, plan: Plan, fault: Fault, delays: EndpointListDelays, random: Random) -> None:
        """Begins without a step; `random` is the fault's own."""
        self.plan = plan
        self.fault = fault
        self.delays = delays
        self.random = random
        self.steps: list[Step] = []
        self._zone_by_replica = {replica.name: replica.zone for replica in plan.replicas}

    # What is struck

    def choose_replicas(self) -> list[str]:
        """Draws the share of the listed replicas that fit the fault, at least one."""
        candidates = [
            replica for replica in self.plan.replicas if replica.is_listed and self._is_candidate(replica)
        ]
        count = max(1, round(self.fault.affected_share * len(candidates)))
        chosen = self.random.sample(candidates, min(count, len(candidates)))
        return [replica.name for replica in chosen]

    def choose_proxies(self) -> list[str]:
        """Draws the share of the proxies of the fault's zone, or of all, at least one."""
        candidates = [
            proxy.name for proxy in self.plan.proxies if not self.fault.zone or proxy.zone == self.fault.zone
        ]
        return self.random.sample(candidates, max(1, round(self.fault.affected_share * len(candidates))))

    def choose_zone(self) -> str:
        """The fault's zone, else one that is drawn."""
        return self.fault.zone or self.random.choice(self.plan.zones)

    def proxies_of(self, zone: str) -> list[str]:
        """The proxies of a zone."""
        return [proxy.name for proxy in self.plan.proxies if proxy.zone == zone]

    def governors(self) -> list[str]:
        """All governors."""
        return [name for name, _, _ in self.plan.governors]

    def _is_candidate(self, replica: ReplicaPlan) -> bool:
        if self.fault.zone and replica.zone != self.fault.zone:
            return False
        return not self.fault.replica_kind or replica.kind == self.fault.replica_kind

    # Orders

    def add_command(self, at_us: int, role: str, name: str, **fields: Any) -> None:
        """Orders something of the process of a role."""
        self.steps.append(Step(at_us=at_us, role=role, command={"do": name, **fields}))

    def add_replica_commands(self, at_us: int, name: str, replicas: Iterable[str], value: Any = None) -> None:
        """Orders something of replicas, through the processes of their zones."""
        by_zone: dict[str, list[str]] = {}
        for replica in replicas:
            by_zone.setdefault(self._zone_by_replica[replica], []).append(replica)
        for zone, in_zone in by_zone.items():
            self.add_command(at_us, f"replicas-{zone}", name, replicas=in_zone, value=value)

    def set_listed_phase(
        self, at_us: int, replicas: list[str], phase: str, *, restarted: bool = False, ago_us: int = 0
    ) -> None:
        """Has the endpoint list show a phase, and where they restarted, how long ago that was."""
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
        """Changes how the chosen links carry bytes; `REPAIRED` ends an injury."""
        self.add_command(at_us, LINKS_ROLE, "injure", harm=link_faults, **links)

    def scale_requests(self, at_us: int, proxies: list[str], factor: float) -> None:
        """Multiplies the requests to some proxies."""
        self.add_command(at_us, CLIENTS_ROLE, "factor", relays=proxies, value=factor)

    # What several kinds do

    def kill_replicas(self, at_us: int, replicas: list[str]) -> None:
        """Ends the processes of replicas; the endpoint list shows it late."""
        self.stop_replicas(at_us, replicas, REFUSE_CONNECTIONS)
        self.set_listed_phase(at_us + self.delays.ended_us, replicas, "gone")

    def blackhole_replicas(self, at_us: int, replicas: list[str]) -> None:
        """Lets replicas fall silent together with their machines; the endpoint list shows it later still."""
        self.stop_replicas(at_us, replicas, BLACKHOLE)
        self.set_listed_phase(at_us + self.delays.silent_us, replicas, "gone")

    def stop_replicas(self, at_us: int, replicas: list[str], link_faults: dict[str, Any]) -> None:
        """Ends the processes of replicas without the endpoint list's knowledge."""
        self.inject_link_faults(at_us, link_faults, targets=replicas)
        self.add_replica_commands(at_us, "die", replicas)

    def drain_replicas(self, at_us: int, replicas: list[str]) -> None:
        """Lists replicas as draining and ends their processes `extra_us` later."""
        listed_us = at_us + self.delays.added_us
        self.set_listed_phase(listed_us, replicas, "draining")
        self.kill_replicas(listed_us + self.fault.extra_us, replicas)

    def restart_replicas(self, at_us: int, replicas: list[str]) -> None:
        """Starts replicas, which then warm up."""
        self.add_replica_commands(at_us, "start", replicas)
        self.inject_link_faults(at_us, NO_LINK_FAULTS, targets=replicas)
        added_us = self.delays.added_us
        self.set_listed_phase(at_us + added_us, replicas, "ready", restarted=True, ago_us=added_us)
