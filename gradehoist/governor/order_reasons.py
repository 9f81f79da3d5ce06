"""Explains a policy's withdrawals, admissions and bindings for the log, from the policy's state."""

from __future__ import annotations

from gradehoist.interface import BindProxy, Order, Phase, SetAdmission, WithdrawReplica
from gradehoist.messages import Availability
from gradehoist.policy.planner import Planner


def explain_orders(policy: Planner, orders: list[Order]) -> dict[int, str]:
    """Returns the reasons for the orders that the policy has just given, by their position."""
    reasons: dict[int, str] = {}
    for position, order in enumerate(orders):
        match order:
            case WithdrawReplica(replica=replica, withdrawn=True):
                reasons[position] = _explain_withdrawal(policy, replica)
            case WithdrawReplica(replica=replica, withdrawn=False):
                reasons[position] = _explain_return(policy, replica)
            case SetAdmission():
                share = policy.admission.admitted_share
                reasons[position] = f"admits {share:.3g} of all requests, by the capacity of the pool"
            case BindProxy(proxy=proxy):
                group = policy.fleet.proxies.group_by_proxy.get(proxy, -1)
                reasons[position] = f"joined, group {group}"
    return reasons


def _explain_withdrawal(policy: Planner, replica: int) -> str:
    actor = policy.fleet.replicas.actors[replica]
    availability = policy.fleet.withdrawals.withdrawn.get(replica)
    if availability is Availability.GONE:
        return "listed as gone"
    if availability is Availability.EJECTED:
        return f"ejected: most of its attempts fail (ejection {actor.ejections})"
    if replica in policy.fleet.replicas.held_back:
        return "warming up; waits while the pool is at capacity or too few replicas are back"
    if actor.state.endpoint.phase is Phase.DRAINING:
        return "listed as draining"
    return "not available"


def _explain_return(policy: Planner, replica: int) -> str:
    actor = policy.fleet.replicas.actors.get(replica)
    if actor is None:
        return "forgotten: gone for long"
    state = "in slow start" if actor.state.slow_start < 1 else "without slow start"
    return f"available again, {state}"
