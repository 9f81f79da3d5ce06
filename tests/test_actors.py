"""The message loop: order of delivery, timers, deferred messages, and seeded random numbers."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from gradehoist.actors import SECOND, Actor, MessageLoop


@dataclass(frozen=True)
class Ping:
    number: int


@dataclass(frozen=True)
class Pong:
    number: int


class Recorder(Actor):
    """Records the messages that it gets in a shared log, and answers each ping with a pong."""

    def __init__(self, loop: MessageLoop, name: str, log: list[tuple[str, object]]) -> None:
        super().__init__(loop)
        self.name = name
        self.log = log

    def _on_ping(self, ping: Ping) -> None:
        self.log.append((self.name, ping))
        self.loop.send(self, Pong(ping.number))

    def _on_pong(self, pong: Pong) -> None:
        self.log.append((self.name, pong))


class UnsubscribedRecorder(Recorder):
    receives_published = False


@pytest.fixture
def loop() -> MessageLoop:
    return MessageLoop(seed=7, now_us=0)


@pytest.fixture
def log() -> list[tuple[str, object]]:
    return []


def test_messages_are_delivered_in_the_order_of_sending(
    loop: MessageLoop, log: list[tuple[str, object]]
) -> None:
    first, second = Recorder(loop, "first", log), Recorder(loop, "second", log)
    loop.send(second, Ping(1))
    loop.send(first, Ping(2))
    loop.run()
    assert log == [("second", Ping(1)), ("first", Ping(2)), ("second", Pong(1)), ("first", Pong(2))]


def test_a_published_message_is_delivered_to_all_subscribers_that_handle_its_type(
    loop: MessageLoop, log: list[tuple[str, object]]
) -> None:
    Recorder(loop, "first", log)
    UnsubscribedRecorder(loop, "unsubscribed", log)
    Recorder(loop, "second", log)
    loop.publish(Pong(1))
    loop.publish("no actor handles text")
    loop.run()
    assert log == [("first", Pong(1)), ("second", Pong(1))]


def test_a_message_of_a_type_that_the_actor_does_not_handle_is_an_error(
    loop: MessageLoop, log: list[tuple[str, object]]
) -> None:
    loop.send(Recorder(loop, "first", log), "text")
    with pytest.raises(KeyError):
        loop.run()


def test_scheduled_messages_are_delivered_by_time_then_in_the_order_of_scheduling(
    loop: MessageLoop, log: list[tuple[str, object]]
) -> None:
    actor = Recorder(loop, "actor", log)
    for delay_us, number in ((2 * SECOND, 1), (SECOND, 2), (SECOND, 3)):
        loop.schedule(delay_us, actor, Pong(number))
    loop.now_us = SECOND - 1
    loop.run()
    assert log == []
    loop.now_us = SECOND
    loop.run()
    assert log == [("actor", Pong(2)), ("actor", Pong(3))]
    loop.now_us = 2 * SECOND
    loop.run()
    assert log[-1] == ("actor", Pong(1))


def test_a_deferred_message_is_delivered_once_after_the_replies_to_queued_messages(
    loop: MessageLoop, log: list[tuple[str, object]]
) -> None:
    actor = Recorder(loop, "actor", log)
    loop.send(actor, Ping(1))
    actor.defer_once(Pong(9))
    actor.defer_once(Pong(9))
    loop.run()
    assert log == [("actor", Ping(1)), ("actor", Pong(1)), ("actor", Pong(9))]
    actor.defer_once(Pong(9))
    loop.run()
    assert log[3:] == [("actor", Pong(9))], "after its delivery, a message may be deferred again"


def test_random_numbers_are_determined_by_the_seed() -> None:
    loops = [MessageLoop(seed, now_us=0) for seed in (7, 7, 8)]
    samples = [[loop.random() for _ in range(100)] for loop in loops]
    assert samples[0] == samples[1] != samples[2]
    assert all(0 <= sample < 1 for sample in samples[0])
    assert 0.4 < sum(samples[0]) / 100 < 0.6
