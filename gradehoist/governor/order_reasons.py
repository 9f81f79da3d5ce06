"""Why a policy gave its withdrawals, admission and bindings, read from its own state for the log."""

from __future__ import annotations

from typing import Any

from gradehoist.interface import BindProxy, Order, Phase, SetAdmission, WithdrawReplica
from gradehoist.policy.planner import Planner


def explain_orders(policy: Planner, orders: list[Order]) -> dict[int, str]:
    """The reasons for orders that the policy has just given, by their position."""
    actors: Any = policy.mail.parts
    reasons: dict[int, str] = {}
    for position, order in enumerate(orders):
        match order:
            case WithdrawReplica(replica=replica, withdrawn=True):
                kind = policy.publisher.withdrawn.get(replica, "")
                reasons[position] = _explain_withdrawal(actors, replica, kind)
            case WithdrawReplica(replica=replica, withdrawn=False):
                is_warming_up = actors["replica", replica].ramp < 1
                state = "ramps up from its low start" if is_warming_up else "at full ramp"
                reasons[position] = f"open again: {state}"
            case SetAdmission():
                level = actors["admission"].level
                reasons[position] = f"admits {level:.3g} of all, by what the pool can answer"
            case BindProxy(proxy=proxy):
                reasons[position] = f"joined, group {policy.publisher.group_by_proxy.get(proxy, -1)}"
    return reasons


def _explain_withdrawal(actors: Any, replica: int, kind: str) -> str:
    actor = actors["replica", replica]
    if kind == "gone":
        return "listed as gone"
    if kind == "eject":
        return f"ejected: most of its attempts fail, {actor.trials} times now"
    if replica in actors["pool"].held:
        return "warming up, waits while the pool is full or too few are back"
    if actor.entry is not None and actor.entry.phase is Phase.DRAINING:
        return "listed as draining"
    return "not open"
