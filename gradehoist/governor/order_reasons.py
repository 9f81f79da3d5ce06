"""Explains a policy's withdrawals, admissions and bindings for the log, from the policy's state."""

from __future__ import annotations

from gradehoist.actors import SECOND
from gradehoist.interface import BindProxy, Order, Phase, SetAdmission, WithdrawReplica
from gradehoist.messages import Availability
from gradehoist.policy.planner import Planner


def explain_orders(policy: Planner, orders: list[Order]) -> dict[int, str]:
    """Returns the reasons for the orders that the policy has just given, by their position."""
    reasons = {position: explain_order(policy, order) for position, order in enumerate(orders)}
    return {position: reason for position, reason in reasons.items() if reason}


def explain_order(policy: Planner, order: Order) -> str:
    """Returns the reason for an order that the policy has just given, or an empty text for other orders."""
    match order:
        case WithdrawReplica(replica=replica, withdrawn=True):
            return _explain_withdrawal(policy, replica)
        case WithdrawReplica(replica=replica, withdrawn=False):
            return _explain_return(policy, replica)
        case SetAdmission():
            share = policy.admission.admitted_share
            return f"admits {share:.3g} of all requests, by the capacity of the pool"
        case BindProxy(proxy=proxy):
            group = policy.fleet.proxies.group_by_proxy.get(proxy, -1)
            return f"joined, group {group}"
    return ""


def _explain_withdrawal(policy: Planner, replica: int) -> str:
    actor = policy.fleet.replicas.actors[replica]
    availability = policy.fleet.withdrawals.withdrawn.get(replica)
    if availability is Availability.GONE:
        return "listed as gone"
    if availability is Availability.EJECTED:
        return f"ejected: most of its attempts fail (ejection {actor.ejections})"
    if replica in policy.fleet.replicas.held_back:
        return explain_hold_back(policy, replica)
    if actor.state.endpoint.phase is Phase.DRAINING:
        return "listed as draining"
    return "not available"


def explain_hold_back(policy: Planner, replica: int) -> str:
    """Returns why a cold replica is held back."""
    reason = policy.fleet.replicas.held_back[replica]
    return f"{_describe_warmup(policy, replica)}, held back: {reason.value}"


def _explain_return(policy: Planner, replica: int) -> str:
    actor = policy.fleet.replicas.actors.get(replica)
    if actor is None:
        return "forgotten: gone for long"
    if policy.fleet.replicas.is_cold(replica):
        return f"{_describe_warmup(policy, replica)}, gets {_describe_planned_shares(policy, replica)}"
    state = "in slow start" if actor.state.slow_start < 1 else "without slow start"
    return f"available again, {state}"


def _describe_warmup(policy: Planner, replica: int) -> str:
    age_us = policy.loop.now_us - policy.fleet.replicas.states[replica].endpoint.started_us
    predicted = policy.warmup.predicted_loads.get(replica)
    load = f", {predicted.requests_per_s:.2f} of {predicted.limit_per_s:.2f} requests/s" if predicted else ""
    return f"warming up, started {age_us / SECOND:.2f} s ago{load}"


def _describe_planned_shares(policy: Planner, replica: int) -> str:
    """Returns the largest share of each class of a zone that the last plan sends to a replica."""
    shares: dict[int, float] = {}
    for tables in policy.pool.zone_tables:
        for class_set, weights in tables.items():
            share = weights.get(replica, 0.0) / (sum(weights.values()) or 1.0)
            for request_class in policy.fleet.replicas.class_sets[class_set]:
                shares[request_class] = max(share, shares.get(request_class, 0.0))
    parts = [f"{share:.1%} of class {request_class}" for request_class, share in sorted(shares.items())]
    return f"up to {', '.join(parts)} of a zone"
