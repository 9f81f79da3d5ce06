"""Message passing between the actors of one policy instance: queue, timers and seeded random numbers.

The loop is deterministic: it delivers messages in the order they were sent, and nothing in it reads a clock
or decides anything. Time comes from the caller, in microseconds.
"""

from __future__ import annotations

import heapq
import zlib
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, get_type_hints

SECOND = 1_000_000  # µs
Handler = Callable[[Any, Any], None]


@dataclass(frozen=True, slots=True)
class Deferred:
    """A message that an actor sends to itself behind all that is queued when this one is delivered."""

    message: object


class Actor:
    """Base of the actors: it handles each type of message in its own `_on_<event>` method.

    The annotation of a handler's only parameter names the type that it handles.
    """

    handlers: ClassVar[dict[type, Handler]] = {}

    def __init_subclass__(cls) -> None:
        """Collect the handlers of the class by the type of their message."""
        super().__init_subclass__()
        names = [name for name in dir(cls) if name.startswith("_on_")]
        cls.handlers = {_message_type(getattr(cls, name)): getattr(cls, name) for name in names}

    receives_published: ClassVar[bool] = (
        True  # whether it gets what is published; others are sent their messages
    )

    def __init__(self, loop: MessageLoop) -> None:
        """Create an actor whose messages `loop` delivers."""
        self.loop = loop
        self._deferred = set[object]()
        if self.receives_published:
            loop.subscribe(self)

    def defer_once(self, message: object) -> None:
        """Deliver `message` to this actor, once, behind the replies to what is queued now."""
        if message not in self._deferred:
            self._deferred.add(message)
            self.loop.send(self, Deferred(message))

    def _on_deferred(self, deferred: Deferred) -> None:
        self._deferred.discard(deferred.message)
        self.loop.send(self, deferred.message)


class MessageLoop:
    """Delivers messages to actors in the order of sending; owned by one policy instance."""

    def __init__(self, seed: int, now_us: int) -> None:
        """Create an empty loop whose random numbers follow from `seed`."""
        self.now_us = now_us
        self._seed = seed
        self._samples = 0
        self._queue = deque[tuple[Actor, object]]()
        self._timers: list[tuple[int, int, Actor, object]] = []
        self._timer_count = 0
        self._subscribers = defaultdict[type, list[Actor]](list)

    def subscribe(self, actor: Actor) -> None:
        """Deliver to `actor`, behind earlier subscribers, what is published of each type that it handles."""
        for message_type in actor.handlers:
            self._subscribers[message_type].append(actor)

    def send(self, actor: Actor, message: object) -> None:
        """Queue `message` for one actor."""
        self._queue.append((actor, message))

    def publish(self, message: object) -> None:
        """Queue `message` for all subscribers of its type; a message without any is dropped."""
        for actor in self._subscribers.get(type(message), ()):
            self._queue.append((actor, message))

    def schedule(self, delay_us: int, actor: Actor, message: object) -> None:
        """Queue `message` for `actor` in the first run that begins `delay_us` or more after now."""
        self._timer_count += 1  # keeps the order among equal times, so that actors are never compared
        heapq.heappush(self._timers, (self.now_us + delay_us, self._timer_count, actor, message))

    def random(self) -> float:
        """Return the next random number, evenly spread over 0 to 1, the same for each run with the seed."""
        self._samples += 1
        return zlib.crc32(f"{self._seed}:{self._samples}".encode()) / 2**32

    def run(self) -> None:
        """Queue what is scheduled by now, then deliver messages until none is left."""
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
    assert isinstance(message_type, type), f"{handler.__qualname__} handles one message type"
    return message_type
