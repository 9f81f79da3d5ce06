"""Formats the policy's orders as lines of the simulator's wire protocol 'saffron-54c5'."""

from __future__ import annotations

from gradehoist.identifiers import Identifiers
from gradehoist.interface import (
    BindProxy,
    CheckHealth,
    ClearTable,
    LogRemark,
    Order,
    RequestAcknowledgement,
    RequestEndpoints,
    SetAdmission,
    SetTimer,
    SetWeight,
    SubscribeEndpoints,
    WithdrawReplica,
)

ALL_TABLES = 65_535  # table number on the wire for an order that applies to all tables
MICROSECONDS_PER_SECOND = 1_000_000


def format_number(value: float) -> str:
    """Return a number with six significant digits."""
    return format(value, ".6g")


def class_mask(classes: tuple[int, ...]) -> int:
    """Return the classes as a bit mask; no classes give 0, which means all classes on the wire."""
    return sum(1 << number for number in classes)


def format_crash(reason: str) -> str:
    """Return the line that reports the failure of an instance."""
    return "CRASH reason-text=" + (" ".join(reason.split()) or "failed")


def format_order(identifiers: Identifiers, order: Order) -> str:
    """Return the line for an order, without a line end."""
    match order:
        case SetWeight() | ClearTable() | BindProxy() | WithdrawReplica() | SetAdmission():
            return _format_table_order(identifiers, order)
        case RequestAcknowledgement():
            return f"MARK rev={order.revision} flag={int(order.to_all)}"
        case CheckHealth():
            return f"ASK_LOAD replica={identifiers.replicas.names[order.replica]}"
        case SetTimer():
            seconds, microseconds = divmod(order.delay_us, MICROSECONDS_PER_SECOND)
            return f"WAKE_ME ref={order.token} from-now={seconds}.{microseconds:06d}"
        case SubscribeEndpoints():
            return f"FOLLOW flag={int(order.subscribed)}"
        case RequestEndpoints():
            return "SNAPSHOT"
        case LogRemark():
            return "REMARK reason-text=" + " ".join(order.text.split())


def _format_table_order(
    identifiers: Identifiers,
    order: SetWeight | ClearTable | BindProxy | WithdrawReplica | SetAdmission,
) -> str:
    replicas = identifiers.replicas.names
    match order:
        case SetWeight():
            weight = format_number(order.weight)
            return f"UPSERT replica={replicas[order.replica]} map-id={order.table} size={weight}"
        case ClearTable():
            return f"DROP_LINES map-id={order.table}"
        case BindProxy():
            mask = class_mask(order.classes)
            return f"ATTACH_TABLE agent={order.proxy} map-id={order.table} only={mask}"
        case WithdrawReplica():
            return f"WITHDRAW flag={int(order.withdrawn)} replica={replicas[order.replica]}"
        case SetAdmission():
            return _format_admission(order)


def _format_admission(order: SetAdmission) -> str:
    table = ALL_TABLES if order.table is None else order.table
    share = format_number(order.admitted_share)
    mask = class_mask(order.classes)
    return f"ADMIT quota={share} on-failure={order.retry_policy} only={mask} map-id={table}"
