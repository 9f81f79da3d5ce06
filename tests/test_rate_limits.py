"""Rate limits of cells and tenants at one proxy."""

from __future__ import annotations

from collections import Counter

from gradehoist.cells.rate_limits import RateLimiter, RateLimits

NO_RATE_LIMIT = 1e6
SECOND = 1_000_000


def test_a_flood_is_rejected_by_its_own_cell_and_what_was_lent_is_returned() -> None:
    limiter = RateLimiter(RateLimits(cell_rate_per_s=10.0, tenant_rate_per_s=2.0, burst_s=2.0))
    admitted = Counter[str]()

    def request(now_us: int, tenant: str, cell: str, counted_as: str) -> None:
        rejection = limiter.admit(now_us, tenant, cell)
        admitted[counted_as] += rejection is None
        if tenant == "flood" and rejection is not None:
            assert rejection.retry_after_us > 0
            assert "rate" in rejection.reason

    for millisecond in range(20_000):  # the flood alone for 10 s, then two owners at their rate beside it
        now_us = millisecond * 1_000
        owners_active = millisecond >= 10_000
        if millisecond % 5 == 0:
            request(now_us, "flood", "a", "flood beside owners" if owners_active else "flood alone")
        if owners_active and millisecond % 500 == 0:
            request(now_us, "one", "a", "owners")
            request(now_us, "two", "a", "owners")
        if millisecond % 500 == 0:
            request(now_us, "three", "b", "other cell")

    assert admitted["owners"] == 40  # none of theirs was rejected, in its cell or another
    assert admitted["other cell"] == 40
    assert 95 <= admitted["flood alone"] <= 125
    assert 55 <= admitted["flood beside owners"] <= 70


def test_a_tenant_has_a_limit_of_requests_in_flight() -> None:
    limiter = RateLimiter(
        RateLimits(cell_rate_per_s=NO_RATE_LIMIT, tenant_rate_per_s=NO_RATE_LIMIT, tenant_in_flight_limit=2)
    )
    assert [limiter.admit(0, "t", "a") is None for _ in range(3)] == [True, True, False]

    limiter.finish("t", "a")
    assert limiter.admit(0, "t", "a") is None


def test_a_cell_has_a_limit_of_requests_in_flight_that_others_do_not_feel() -> None:
    limiter = RateLimiter(
        RateLimits(cell_rate_per_s=NO_RATE_LIMIT, tenant_rate_per_s=NO_RATE_LIMIT, cell_in_flight_limit=3)
    )
    assert [limiter.admit(0, f"t{n}", "a") is None for n in range(4)] == [True, True, True, False]
    assert limiter.admit(0, "t9", "b") is None

    limiter.finish("t1", "a")
    assert limiter.admit(0, "t7", "a") is None


def test_invented_names_cost_no_memory() -> None:
    limiter = RateLimiter(RateLimits(cell_rate_per_s=NO_RATE_LIMIT, tenant_rate_per_s=5.0))

    for n in range(30_000):
        limiter.admit(n * 1_000, f"made-up-{n}", "a")
        limiter.finish(f"made-up-{n}", "a")

    assert len(limiter._tenants) <= limiter.MAX_TENANTS + 1
    assert not limiter.tenant_in_flight


def test_rejected_names_are_forgotten_before_a_tenant_with_a_request_in_flight() -> None:
    limiter = RateLimiter(RateLimits(cell_rate_per_s=10.0, tenant_rate_per_s=2.0, burst_s=2.0))
    assert limiter.admit(0, "busy", "a") is None

    for n in range(2 * limiter.MAX_TENANTS):  # nearly all rejected, and all at once: no bucket is full yet
        if limiter.admit(0, f"rejected-{n}", "a") is None:
            limiter.finish(f"rejected-{n}", "a")

    assert len(limiter._tenants) == limiter.MAX_TENANTS
    assert "busy" in limiter._tenants
    assert limiter.tenant_in_flight == {"busy": 1}
