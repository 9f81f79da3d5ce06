"""The simulator's wire protocol: malformed lines are logged and skipped, and valid ones still answered."""

from __future__ import annotations

import io

import pytest

from gradehoist.adapter.host import Host
from gradehoist.interface import (
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    KeyRangeLine,
    Order,
    Phase,
    SetTimer,
)

OPTIONS = (
    '{"azs": ["a"], "kinds": ["k"], "classes": [{"name": "c", "aim": 1.0, "deadline": 2.0,'
    ' "idempotency": "free", "worth": 1.0}], "specifics": {"period": 1.0, "proxies": 2, "pending-max": 900.0,'
    ' "push-rate": 900.0}, "guarantees": {"drain-grace": 1.0, "cold": 9.0}, "report": {"how": "off"}}'
)


def reply_to(host: Host, *lines: str) -> str:
    replies = [reply for reply in map(host.handle_line, (*lines, "OVER_TO_YOU")) if reply is not None]
    assert len(replies) == 1
    return replies[0]


def test_each_batch_gets_one_reply_even_if_it_is_empty_or_has_malformed_lines() -> None:
    errors = io.StringIO()
    host = Host(errors)
    assert reply_to(host, "TICK at-time=1.5", "") == "NEXT\n"
    assert reply_to(host, "TICK at-time=2", "TARGET_INSTANCE governor=4", "JOINED agent=1 hall=a") == "NEXT\n"
    assert reply_to(host, "TICK at-time=x", "NONSENSE a=1", "JOINED agent", "ITEM replica=q") == "NEXT\n"
    skipped = errors.getvalue().splitlines()
    assert len(skipped) == 5
    assert "not started" in skipped[0]
    assert "ITEM" in skipped[4]


def test_an_instance_that_fails_is_reported_as_crashed_once() -> None:
    class FailingPolicy:
        def handle(self, now_us: int, events: object) -> list[object]:
            raise RuntimeError("two\nlines")

    host = Host(io.StringIO(), lambda config, now_us: FailingPolicy())  # type: ignore[arg-type,return-value]
    boot = ["TARGET_INSTANCE governor=3", f"BOOT rng-seed=1 options={OPTIONS}"]
    reply = reply_to(host, "TICK at-time=1", *boot, "SHEET slot=2 records=0", "VIEW kind=SAVED rev=1 slot=2")
    assert reply == "ON_BEHALF governor=3\nCRASH reason-text=RuntimeError: two lines\nNEXT\n"
    assert reply_to(host, "TICK at-time=2", "TARGET_INSTANCE governor=3", "DESTROY") == "NEXT\n"


def test_endpoint_lists_are_resolved_in_order_and_an_instance_restarted_in_a_batch_starts_empty() -> None:
    made: list[list[Event]] = []

    class RecordingPolicy:
        def __init__(self) -> None:
            made.append([])
            self.events = made[-1]

        def handle(self, now_us: int, events: list[Event]) -> list[Order]:
            self.events += events
            return [SetTimer(3, 1_500_000)]

    errors = io.StringIO()
    host = Host(errors, lambda config, now_us: RecordingPolicy())
    boot = ["TARGET_INSTANCE governor=3", f"BOOT rng-seed=1 options={OPTIONS}"]
    item = "ITEM size=2 novel=1 phase=Ready hall=a shape=k replica="
    view = "VIEW slot=0 rev=4 kind="
    reply = reply_to(
        host,
        "TICK at-time=7.000001",
        *boot,
        "SHEET slot=0 records=1",
        item + "10.0.0.1:1",
        view + "SAVED",
        "DESTROY",
        *boot,
        "SHEET slot=0 records=1",
        item + "10.0.0.2:1",
        view + "SAVED",
        "SHEET slot=0 records=0",
        view + "INCREMENTAL",
        "VIEW kind=FAILED rev=0 slot=9",
        "CUSTODY map-id=4 flag=1",
        "ON_RECORD map-id=4 replica=10.0.0.3:1 size=1",
        "ACTIVITY map-id=4 cls=c number=2 bad=1 window=0.5",
        "WHISPER origin-peer=1 octets=aGkgNw==",
        "CUSTODY flag=1",
        "TOOK_EFFECT agent=1 rev=2 elapsed=0.25",
    )
    assert reply == "ON_BEHALF governor=3\nWAKE_ME ref=3 from-now=1.500000\nNEXT\n"
    assert host.now_us == 7_000_001
    assert len(made) == 2
    assert not made[0]
    kinds = [type(e).__name__ for e in made[1]]
    assert kinds == ["EndpointsListed"] * 3 + [
        "KeyRangeAssigned",
        "KeyRangeLine",
        "KeyRangeOffered",
        "PeerMessageReceived",
        "UpdateAcknowledged",
    ]
    assert made[1][0] == EndpointsListed(
        EndpointListKind.CACHED, (Endpoint(0, 0, 0, 0, Phase.READY, 2.0, 0),)
    )
    assert made[1][1] == EndpointsListed(EndpointListKind.DELTA, ())
    assert made[1][4] == KeyRangeLine(4, 1, 1.0)
    assert errors.getvalue().count("\n") == 1
    assert "CUSTODY flag=1" in errors.getvalue()


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("CUSTODY", "KeyError: 'map-id'"),
        ("NONSENSE", "WireError: unknown message"),
        ("JOINED agent", "WireError: no value in 'agent'"),
        ("ITEM replica=q", "WireError: endpoint entry outside an endpoint list"),
        ("DIGEST hall=a replica=s-1 number=x", "ValueError"),
    ],
)
def test_a_skipped_line_is_logged_with_its_reason(line: str, reason: str) -> None:
    errors = io.StringIO()
    host = Host(errors)
    reply_to(host, "TICK at-time=1", "TARGET_INSTANCE governor=3", f"BOOT rng-seed=1 options={OPTIONS}")
    reply_to(host, "TARGET_INSTANCE governor=3", line)
    assert reason in errors.getvalue()
    assert errors.getvalue().count("\n") == 1
