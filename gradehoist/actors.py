"""Message passing between the actors of one policy instance: queue, timers and seeded random numbers.

The loop is deterministic: it delivers messages in the order in which they were sent, and the caller sets its
time, in microseconds. It never reads a clock.
"""

from __future__ import annotations

import heapq
import zlib
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, get_type_hints

SECOND = 1_000_000  # in microseconds
Handler = Callable[[Any, Any], None]


@dataclass(frozen=True, slots=True)
class Deferred:
    """Wraps a message that an actor defers.

    When it is delivered, the actor sends itself `message`, which thus follows all messages queued by then.
    """

    message: object


class Actor:
    """Base class of the actors, which handle each type of message in a method `_on_<message>`.

    The annotation of the method's only parameter is the message type that it handles.
    """

    handlers: ClassVar[dict[type, Handler]] = {}

    def __init_subclass__(cls) -> None:
        """Collect the class's handlers by message type."""
        super().__init_subclass__()
        names = [name for name in dir(cls) if name.startswith("_on_")]
        cls.handlers = {_message_type(getattr(cls, name)): getattr(cls, name) for name in names}

    # Whether published messages are delivered to the actor; otherwise, it gets only what is sent to it.
    receives_published: ClassVar[bool] = True

    def __init__(self, loop: MessageLoop) -> None:
        """Create an actor that `loop` delivers messages to."""
        self.loop = loop
        self._deferred = set[object]()
        if self.receives_published:
            loop.subscribe(self)

    def defer_once(self, message: object) -> None:
        """Deliver `message` to this actor once, after all queued messages and the direct replies to them."""
        if message not in self._deferred:
            self._deferred.add(message)
            self.loop.send(self, Deferred(message))

    def _on_deferred(self, deferred: Deferred) -> None:
        self._deferred.discard(deferred.message)
        self.loop.send(self, deferred.message)


class MessageLoop:
    """Delivers messages to actors in the order of sending; each policy instance has its own loop."""

    def __init__(self, seed: int, now_us: int) -> None:
        """Create an empty loop whose random numbers are determined by `seed`."""
        self.now_us = now_us
        self._seed = seed
        self._samples = 0
        self._queue = deque[tuple[Actor, object]]()
        self._timers: list[tuple[int, int, Actor, object]] = []
        self._timer_count = 0
        self._subscribers = defaultdict[type, list[Actor]](list)

    def subscribe(self, actor: Actor) -> None:
        """Deliver published messages of all types that `actor` handles to it, after earlier subscribers."""
        for message_type in actor.handlers:
            self._subscribers[message_type].append(actor)

    def send(self, actor: Actor, message: object) -> None:
        """Queue `message` for one actor."""
        self._queue.append((actor, message))

    def publish(self, message: object) -> None:
        """Queue `message` for all subscribers of its type; without subscribers, it is dropped."""
        for actor in self._subscribers.get(type(message), ()):
            self._queue.append((actor, message))

    def schedule(self, delay_us: int, actor: Actor, message: object) -> None:
        """Queue `message` for `actor` in the first run that begins at least `delay_us` from now."""
        self._timer_count += 1  # Breaks ties between equal times, so that actors are never compared.
        heapq.heappush(self._timers, (self.now_us + delay_us, self._timer_count, actor, message))

    def random(self) -> float:
        """Return the next random number, uniform in [0, 1) and determined by the seed."""
        self._samples += 1
        return zlib.crc32(f"{self._seed}:{self._samples}".encode()) / 2**32

    def run(self) -> None:
        """Queue the scheduled messages that are due, then deliver messages until none is left."""
        while self._timers and self._timers[0][0] <= self.now_us:
            _, _, actor, message = heapq.heappop(self._timers)
            self.send(actor, message)
        while self._queue:
            actor, message = self._queue.popleft()
            actor.handlers[type(message)](actor, message)


def _message_type(handler: Handler) -> type:
    hints = get_type_hints(handler)
    hints.pop("return", None)
    (message_type,) = hints.values()
    assert isinstance(message_type, type), f"{handler.__qualname__} must handle exactly one message type"
    return message_type
