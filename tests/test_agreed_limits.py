"""Agreed limits over an outage of the store: held, given up along a ramp, and come back to."""

from __future__ import annotations

import pytest

from gradehoist.coordination.fallback import AgreedLimits
from gradehoist.coordination.fencing import FencingToken

SECOND_US = 1_000_000


def test_limits_are_held_then_given_up_by_an_even_ramp_and_come_back_to() -> None:
    limits = AgreedLimits(hold_us=60 * SECOND_US, ramp_us=10 * SECOND_US)
    assert limits.accept(0, FencingToken(2, "a"), {"z": 0.4})
    assert limits.limits_at(0) == {"z": 0.4}

    limits.on_store_lost(SECOND_US)
    assert limits.limits_at(50 * SECOND_US) == {"z": 0.4}
    assert limits.limits_at(64 * SECOND_US)["z"] == pytest.approx(0.7)
    assert limits.limits_at(90 * SECOND_US)["z"] == 1.0

    limits.on_store_recovered(90 * SECOND_US)
    assert limits.limits_at(90 * SECOND_US) == {"z": 0.4}  # lower is safe at once
    assert not limits.accept(91 * SECOND_US, FencingToken(1, "b"), {"z": 1.0})
    assert not limits.accept(91 * SECOND_US, FencingToken(2, "b"), {"z": 1.0})
    assert limits.accept(91 * SECOND_US, FencingToken(3, "b"), {})
    assert limits.limits_at(92 * SECOND_US)["z"] == pytest.approx(0.5)
    assert limits.limits_at(97 * SECOND_US) == {}


def test_looking_at_limits_changes_nothing_however_often() -> None:
    looked_at_often = AgreedLimits(hold_us=5 * SECOND_US, ramp_us=10 * SECOND_US)
    looked_at_once = AgreedLimits(hold_us=5 * SECOND_US, ramp_us=10 * SECOND_US)
    for limits in (looked_at_often, looked_at_once):
        limits.accept(0, FencingToken(1, "a"), {"z": 0.2})
        limits.on_store_lost(SECOND_US)

    for tenth in range(100):
        looked_at_often.limits_at(tenth * SECOND_US // 10)

    end_us = 10 * SECOND_US
    assert looked_at_often.limits_at(end_us)["z"] == pytest.approx(looked_at_once.limits_at(end_us)["z"])
