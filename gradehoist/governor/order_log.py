"""Logs the orders that are relevant to operators, with the policy's reason. This module does no I/O."""

from __future__ import annotations

from gradehoist.governor.event_log import EventLog
from gradehoist.identifiers import Identifiers
from gradehoist.interface import BindProxy, Order, SetAdmission, WithdrawReplica

SHARE_DIGITS = 4  # decimal places of an admitted share in the log


def log_order(log: EventLog, identifiers: Identifiers, order: Order, reason: str) -> None:
    """Logs a binding, withdrawal, restoration or admission, and ignores every other order.

    The order uses the governor's indices.
    """
    match order:
        case BindProxy(proxy=proxy, table=table):
            log.info("proxy_bound", proxy=identifiers.proxies.names[proxy], table=table, reason=reason)
        case WithdrawReplica(replica=replica, withdrawn=withdrawn):
            event = "replica_withdrawn" if withdrawn else "replica_restored"
            log.info(event, replica=identifiers.replicas.names[replica], reason=reason)
        case SetAdmission():
            names = identifiers.classes.names
            log.info(
                "admission_changed",
                classes=[names[request_class] for request_class in order.classes] or list(names),
                admitted_share=round(order.admitted_share, SHARE_DIGITS),
                retry_policy=order.retry_policy,
                reason=reason,
            )
