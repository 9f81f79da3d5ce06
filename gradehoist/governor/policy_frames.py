"""The messages between a governor and its policy process, and their framing.

A frame is a length of 4 bytes and a pickle. Both ends are this program.
"""

from __future__ import annotations

import pickle
import struct
from dataclasses import dataclass
from typing import BinaryIO

from gradehoist.governor.policy_instances import PolicyBatch, PolicyReply
from gradehoist.interface import Order, PolicyConfig, SetWeight

FRAME_LENGTH = struct.Struct("!I")

PackedWeight = tuple[int, int, float]  # table, replica, weight


@dataclass(frozen=True, slots=True)
class StartPolicies:
    """The first message to the process, which is not answered.

    Attributes:
        configs: one for each policy.
        now_us: the governor's time.
        runs_timers: whether the process fires the policies' timers itself.
    """

    configs: list[PolicyConfig]
    now_us: int
    runs_timers: bool


@dataclass(frozen=True, slots=True)
class HandleBatches:
    """What the policies are due at one time; without `fires_timers` their timers wait."""

    now_us: int
    batches: list[PolicyBatch]
    fires_timers: bool


@dataclass(frozen=True, slots=True)
class PackedReply:
    """A `PolicyReply` for the way between the processes.

    Weights are by far the most orders; as tuples they are read back in half the time.
    """

    policy: int
    orders: list[Order | PackedWeight]
    reasons: dict[int, str]

    @classmethod
    def pack(cls, reply: PolicyReply) -> PackedReply:
        """The packed form of a reply."""
        orders: list[Order | PackedWeight] = [
            (order.table, order.replica, order.weight) if type(order) is SetWeight else order
            for order in reply.orders
        ]
        return cls(policy=reply.policy, orders=orders, reasons=reply.reasons)

    def unpack(self) -> PolicyReply:
        """The reply as the policy gave it."""
        orders = [SetWeight(*order) if isinstance(order, tuple) else order for order in self.orders]
        return PolicyReply(policy=self.policy, orders=orders, reasons=self.reasons)


@dataclass(frozen=True, slots=True)
class BatchesHandled:
    """The answer to `HandleBatches`.

    Attributes:
        failure: what a policy raised; empty if none did, and otherwise there are no replies.
        replies: in the order in which the policies gave them.
        cpu_s: seconds of CPU that the policies took.
    """

    failure: str
    replies: list[PackedReply]
    cpu_s: float


def encode_frame(message: StartPolicies | HandleBatches | BatchesHandled) -> bytes:
    """The bytes of one message."""
    data = pickle.dumps(message, pickle.HIGHEST_PROTOCOL)
    return FRAME_LENGTH.pack(len(data)) + data


def read_frame(pipe: BinaryIO) -> StartPolicies | HandleBatches | None:
    """Reads one message to the policy process; None if the other end has closed."""
    try:
        head = pipe.read(FRAME_LENGTH.size)
        if len(head) < FRAME_LENGTH.size:
            return None
        (size,) = FRAME_LENGTH.unpack(head)
        message: StartPolicies | HandleBatches = pickle.loads(pipe.read(size))
    except (EOFError, pickle.UnpicklingError, ConnectionError):
        return None
    return message
