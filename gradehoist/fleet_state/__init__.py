"""State that a policy keeps of its fleet: what it knows and what it has written. It makes no decisions."""

from gradehoist.fleet_state.fleet import Fleet
from gradehoist.fleet_state.period_timer import PeriodTimer
from gradehoist.fleet_state.replica_actor import ReplicaActor
from gradehoist.fleet_state.replica_retention import ReplicaRetention
from gradehoist.fleet_state.replica_table import (
    Candidates,
    ReplicaTable,
    classes_by_limits,
    failure_share,
    saturation,
    total_weight,
    weight_by_zone,
)
from gradehoist.fleet_state.request_rates import Demand, RateSmoothing
from gradehoist.fleet_state.table_writer import TableWriter
from gradehoist.fleet_state.weight_tables import LineChange

__all__ = [
    "Candidates",
    "Demand",
    "Fleet",
    "LineChange",
    "PeriodTimer",
    "RateSmoothing",
    "ReplicaActor",
    "ReplicaRetention",
    "ReplicaTable",
    "TableWriter",
    "classes_by_limits",
    "failure_share",
    "saturation",
    "total_weight",
    "weight_by_zone",
]
