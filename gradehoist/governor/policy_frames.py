"""The messages between a governor and its policy process, and their framing.

A frame is a pickled message after its length in 4 bytes. Pickle is safe here because both ends are processes
of this program, connected by a socket pair.
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
    """The first message to the policy process, which sends no answer to it.

    Attributes:
        configs: the configuration of each policy.
        now_us: the current time of the governor.
        runs_timers: whether the process fires the policies' timers itself.
    """

    configs: list[PolicyConfig]
    now_us: int
    runs_timers: bool


@dataclass(frozen=True, slots=True)
class HandleBatches:
    """A request to handle pending events; timers fire only with `fires_timers`."""

    now_us: int
    batches: list[PolicyBatch]
    fires_timers: bool


@dataclass(frozen=True, slots=True)
class PackedReply:
    """The form in which a `PolicyReply` is sent between the processes.

    Most orders are weights. They are sent as tuples because unpickling tuples takes half the time.
    """

    policy: int
    orders: list[Order | PackedWeight]
    reasons: dict[int, str]

    @classmethod
    def pack(cls, reply: PolicyReply) -> PackedReply:
        """Returns the packed form of a reply."""
        orders: list[Order | PackedWeight] = [
            (order.table, order.replica, order.weight) if type(order) is SetWeight else order
            for order in reply.orders
        ]
        return cls(policy=reply.policy, orders=orders, reasons=reply.reasons)

    def unpack(self) -> PolicyReply:
        """Returns the reply as the policy gave it."""
        orders = [SetWeight(*order) if isinstance(order, tuple) else order for order in self.orders]
        return PolicyReply(policy=self.policy, orders=orders, reasons=self.reasons)


@dataclass(frozen=True, slots=True)
class BatchesHandled:
    """The answer to `HandleBatches`.

    Attributes:
        failure: the exception that a policy raised, in which case there are no replies; empty otherwise.
        replies: the replies in the order in which the policies gave them.
        cpu_s: CPU time of the policies, in seconds.
    """

    failure: str
    replies: list[PackedReply]
    cpu_s: float


def encode_frame(message: StartPolicies | HandleBatches | BatchesHandled) -> bytes:
    """Returns the frame of a message."""
    data = pickle.dumps(message, pickle.HIGHEST_PROTOCOL)
    return FRAME_LENGTH.pack(len(data)) + data


def read_frame(pipe: BinaryIO) -> StartPolicies | HandleBatches | None:
    """Reads one message that was sent to the policy process; None if the governor closed the socket."""
    try:
        head = pipe.read(FRAME_LENGTH.size)
        if len(head) < FRAME_LENGTH.size:
            return None
        (size,) = FRAME_LENGTH.unpack(head)
        message: StartPolicies | HandleBatches = pickle.loads(pipe.read(size))
    except (EOFError, pickle.UnpicklingError, ConnectionError):
        return None
    return message
