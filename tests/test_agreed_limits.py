"""Tests of agreed limits during an outage of the store: they are held, relaxed along a ramp, and restored."""

from __future__ import annotations

import pytest

from gradehoist.coordination.fallback import AgreedLimits
from gradehoist.coordination.fencing import FencingToken

SECOND_US = 1_000_000


def test_limits_are_held_during_an_outage_then_relaxed_linearly_and_restored_after_it() -> None:
    limits = AgreedLimits(hold_us=60 * SECOND_US, ramp_us=10 * SECOND_US)
    assert limits.accept(0, FencingToken(2, "a"), {"z": 0.4})
    assert limits.limits_at(0) == {"z": 0.4}

    limits.on_store_lost(SECOND_US)
    assert limits.limits_at(50 * SECOND_US) == {"z": 0.4}
    assert limits.limits_at(64 * SECOND_US)["z"] == pytest.approx(0.7)
    assert limits.limits_at(90 * SECOND_US)["z"] == 1.0

    limits.on_store_recovered(90 * SECOND_US)
    # A limit is lowered at once, because a lower limit is safe.
    assert limits.limits_at(90 * SECOND_US) == {"z": 0.4}
    assert not limits.accept(91 * SECOND_US, FencingToken(1, "b"), {"z": 1.0})
    assert not limits.accept(91 * SECOND_US, FencingToken(2, "b"), {"z": 1.0})
    assert limits.accept(91 * SECOND_US, FencingToken(3, "b"), {})
    assert limits.limits_at(92 * SECOND_US)["z"] == pytest.approx(0.5)
    assert limits.limits_at(97 * SECOND_US) == {}


def test_the_number_of_reads_does_not_change_the_ramp() -> None:
    read_often = AgreedLimits(hold_us=5 * SECOND_US, ramp_us=10 * SECOND_US)
    read_once = AgreedLimits(hold_us=5 * SECOND_US, ramp_us=10 * SECOND_US)
    for limits in (read_often, read_once):
        limits.accept(0, FencingToken(1, "a"), {"z": 0.2})
        limits.on_store_lost(SECOND_US)

    for tenth in range(100):
        read_often.limits_at(tenth * SECOND_US // 10)

    end_us = 10 * SECOND_US
    assert read_often.limits_at(end_us)["z"] == pytest.approx(read_once.limits_at(end_us)["z"])
