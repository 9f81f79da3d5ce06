"""The wire: bad input is told and skipped, good input around it still answered."""

from __future__ import annotations

import io

from gradehoist.adapter.host import Host

OPTIONS = (
    '{"azs": ["a"], "kinds": ["k"], "classes": [{"name": "c", "aim": 1.0, "deadline": 2.0,'
    ' "idempotency": "free", "worth": 1.0}], "specifics": {"period": 1.0, "proxies": 2, "pending-max": 900.0,'
    ' "push-rate": 900.0}, "guarantees": {"drain-grace": 1.0, "cold": 9.0}, "report": {"how": "off"}}'
)


def feed(host: Host, *lines: str) -> str:
    replies = [reply for reply in map(host.feed, (*lines, "OVER_TO_YOU")) if reply is not None]
    assert len(replies) == 1
    return replies[0]


def test_empty_batches_and_bad_lines_get_one_reply_each() -> None:
    errors = io.StringIO()
    host = Host(errors)
    assert feed(host, "TICK at-time=1.5", "") == "NEXT\n"
    assert feed(host, "TICK at-time=2", "TARGET_INSTANCE governor=4", "JOINED agent=1 hall=a") == "NEXT\n"
    assert feed(host, "TICK at-time=x", "NONSENSE a=1", "JOINED agent", "ITEM replica=q") == "NEXT\n"
    told = errors.getvalue().splitlines()
    assert len(told) == 5 and "not started" in told[0] and "ITEM" in told[4]


def test_a_fault_of_one_instance_is_its_crash_alone() -> None:
    class Faulty:
        def handle(self, now: int, events: object) -> list[object]:
            raise RuntimeError("two\nlines")

    host = Host(io.StringIO(), lambda start, now: Faulty())  # type: ignore[arg-type,return-value]
    boot = ["TARGET_INSTANCE governor=3", f"BOOT rng-seed=1 options={OPTIONS}"]
    reply = feed(host, "TICK at-time=1", *boot, "SHEET slot=2 records=0", "VIEW kind=SAVED rev=1 slot=2")
    assert reply == "ON_BEHALF governor=3\nCRASH reason-text=RuntimeError: two lines\nNEXT\n"
    assert feed(host, "TICK at-time=2", "TARGET_INSTANCE governor=3", "DESTROY") == "NEXT\n"
