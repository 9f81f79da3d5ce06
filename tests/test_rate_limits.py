"""Rate limits of cells and tenants at one proxy."""

from __future__ import annotations

from collections import Counter

from gradehoist.cells.rate_limits import RateLimiter, RateLimits

NO_RATE_LIMIT = 1e6
SECOND = 1_000_000


def test_a_flood_affects_neither_its_cell_s_other_tenants_nor_other_cells() -> None:
    limiter = RateLimiter(RateLimits(cell_rate_per_s=10.0, tenant_rate_per_s=2.0, burst_s=2.0))
    admitted = Counter[str]()

    def request(now_us: int, tenant: str, cell: str, counted_as: str) -> None:
        rejection = limiter.admit(now_us, tenant, cell)
        admitted[counted_as] += rejection is None
        if tenant == "flood" and rejection is not None:
            assert rejection.retry_after_us > 0
            assert "rate" in rejection.reason

    # The flooding tenant is alone for 10 s. Then two tenants of its cell send requests at their own rate.
    for millisecond in range(20_000):
        now_us = millisecond * 1_000
        others_active = millisecond >= 10_000
        if millisecond % 5 == 0:
            request(now_us, "flood", "a", "flood beside others" if others_active else "flood alone")
        if others_active and millisecond % 500 == 0:
            request(now_us, "one", "a", "others")
            request(now_us, "two", "a", "others")
        if millisecond % 500 == 0:
            request(now_us, "three", "b", "other cell")

    assert admitted["others"] == 40  # none of these requests was rejected
    assert admitted["other cell"] == 40
    assert 95 <= admitted["flood alone"] <= 125
    assert 55 <= admitted["flood beside others"] <= 70


def test_requests_in_flight_of_a_tenant_are_limited() -> None:
    limiter = RateLimiter(
        RateLimits(cell_rate_per_s=NO_RATE_LIMIT, tenant_rate_per_s=NO_RATE_LIMIT, tenant_in_flight_limit=2)
    )
    assert [limiter.admit(0, "t", "a") is None for _ in range(3)] == [True, True, False]

    limiter.finish("t", "a")
    assert limiter.admit(0, "t", "a") is None


def test_requests_in_flight_of_a_cell_are_limited_independently_of_other_cells() -> None:
    limiter = RateLimiter(
        RateLimits(cell_rate_per_s=NO_RATE_LIMIT, tenant_rate_per_s=NO_RATE_LIMIT, cell_in_flight_limit=3)
    )
    assert [limiter.admit(0, f"t{n}", "a") is None for n in range(4)] == [True, True, True, False]
    assert limiter.admit(0, "t9", "b") is None

    limiter.finish("t1", "a")
    assert limiter.admit(0, "t7", "a") is None


def test_the_number_of_remembered_tenants_is_limited() -> None:
    limiter = RateLimiter(RateLimits(cell_rate_per_s=NO_RATE_LIMIT, tenant_rate_per_s=5.0))

    for n in range(30_000):
        limiter.admit(n * 1_000, f"made-up-{n}", "a")
        limiter.finish(f"made-up-{n}", "a")

    assert len(limiter._tenants) <= limiter.MAX_TENANTS + 1
    assert not limiter.tenant_in_flight


def test_a_tenant_with_a_request_in_flight_is_not_evicted() -> None:
    limiter = RateLimiter(RateLimits(cell_rate_per_s=10.0, tenant_rate_per_s=2.0, burst_s=2.0))
    assert limiter.admit(0, "busy", "a") is None

    # Nearly all of these requests are rejected. They arrive at the same time, so that no bucket refills.
    for n in range(2 * limiter.MAX_TENANTS):
        if limiter.admit(0, f"rejected-{n}", "a") is None:
            limiter.finish(f"rejected-{n}", "a")

    assert len(limiter._tenants) == limiter.MAX_TENANTS
    assert "busy" in limiter._tenants
    assert limiter.tenant_in_flight == {"busy": 1}
