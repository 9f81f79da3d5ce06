"""The state that a policy keeps of its fleet."""

from collections.abc import Collection, Sequence
from itertools import product

from gradehoist.actors import MessageLoop
from gradehoist.fleet_state.endpoint_subscription import EndpointSubscription
from gradehoist.fleet_state.proxy_groups import ProxyGroups
from gradehoist.fleet_state.replica_table import ReplicaTable
from gradehoist.fleet_state.request_rates import RateSmoothing, RequestRates
from gradehoist.fleet_state.table_writer import TableWriter
from gradehoist.fleet_state.withdrawals import Withdrawals
from gradehoist.flow_control import FlowControl
from gradehoist.interface import AttemptsReported, Event, HealthChecked, PolicyConfig
from gradehoist.messages import Tables, TablesPlanned, WriteReplica


class Fleet:
    """The state of a fleet. Its actors are created, and get each message, before those of the policy."""

    def __init__(
        self,
        loop: MessageLoop,
        config: PolicyConfig,
        groups: Sequence[TableWriter],
        class_sets: Sequence[tuple[int, ...]],
        smoothing: RateSmoothing,
    ) -> None:
        """Create the state of an empty fleet."""
        self.loop = loop
        self.config = config
        self.groups = groups
        self.latency_objective_us = min(c.latency_objective_us for c in config.classes)
        self.rates = RequestRates(loop, config, class_sets, [group.zone for group in groups], smoothing)
        self.flow = FlowControl(loop, config.channel)
        self.proxies = ProxyGroups(loop, self.flow, groups)
        self.withdrawals = Withdrawals(loop)
        self.replicas = ReplicaTable(loop, config, class_sets)

    def subscribe(self) -> None:
        """Subscribe to the endpoint list, if the deployment requires it."""
        EndpointSubscription(self.loop, self.config.load_reporting.must_subscribe)

    def write_replicas(self, replicas: Sequence[int]) -> None:
        """Make all groups write their lines for these replicas."""
        for group, replica in product(self.groups, replicas):
            self.loop.send(group, WriteReplica(replica))

    def send_tables(self, planned: Sequence[Tables], live: Collection[int], proxy_zones: set[int]) -> None:
        """Send each group the tables that it should hold; `live` are the replicas with lines in them.

        A replica is unused if it has lines only in tables of zones without proxies of this governor, as no
        proxy then reports its load.
        """
        withdrawn = self.replicas.listed().difference(live)
        unused = set(live) if proxy_zones else set[int]()
        for group, tables in zip(self.groups, planned, strict=True):
            if group.zone in proxy_zones:
                unused.difference_update(*tables.values())
            self.loop.send(group, TablesPlanned(tables, withdrawn))
        self.replicas.unused = unused

    def deliver(self, event: Event) -> None:
        """Queue an event for the actors that handle it; events about unknown replicas are dropped."""
        if not isinstance(event, AttemptsReported | HealthChecked):
            self.loop.publish(event)
        elif event.replica in self.replicas.actors:
            self.replicas.send(event.replica, event)
