"""Ends the streams of unresponsive proxies, and logs slow proxies and a slow channel.

The checks run once a second. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

from gradehoist.governor.core_state import CoreState

CHECK_INTERVAL_US = 1_000_000
SLOW_CHANNEL_SHARE = 0.5  # of the configured rate; a channel below it counts as slow


class StreamMonitor:
    """Monitors the streams and the channel of one publisher. The core owns it."""

    def __init__(self, state: CoreState, remove_proxy: Callable[[int, str], None], now_us: int) -> None:
        """Creates a monitor; `remove_proxy` ends the stream of a proxy and logs a reason."""
        self._fleet = state.fleet
        self._publisher = state.publisher
        self._remove_proxy = remove_proxy
        self._log = state.log
        self._checked_us = now_us
        self._is_channel_slow = False

    def advance(self, now_us: int) -> None:
        """Runs the checks if a second has passed since they last ran."""
        if now_us < self._checked_us + CHECK_INTERVAL_US:
            return
        self._checked_us = now_us
        self._remove_unresponsive(now_us)
        self._publisher.maintain_backlog()
        self._log_channel_rate()
        self._log_slow_proxies(now_us)

    def _remove_unresponsive(self, now_us: int) -> None:
        """Removes proxies that do not poll, and proxies that poll without acknowledging anything.

        Before the latter were removed, messages that they never acknowledged counted as in flight forever,
        and the weights and restorations of all other proxies stopped.
        """
        streams = self._publisher.streams
        silent_since_us = now_us - self._fleet.poll_hold_us - self._fleet.silence_limit_us
        for proxy in [p for p, stream in streams.items() if stream.last_poll_us < silent_since_us]:
            self._remove_proxy(proxy, "silent")
        stuck_since_us = silent_since_us - self._fleet.safety.drain_grace_us
        stuck = [
            proxy
            for proxy, stream in streams.items()
            if stream.unacknowledged and stream.unacknowledged_since_us < stuck_since_us
        ]
        for proxy in stuck:
            self._remove_proxy(proxy, "acknowledges nothing")

    def _log_channel_rate(self) -> None:
        channel = self._publisher.channel
        is_slow = channel.measured_lines_per_s < channel.lines_per_s * SLOW_CHANNEL_SHARE
        if is_slow == self._is_channel_slow:
            return
        self._is_channel_slow = is_slow
        fields = {
            "lines_per_s": round(channel.measured_lines_per_s),
            "reason": f"the configured rate is {channel.lines_per_s:g}",
        }
        if is_slow:
            self._log.warning("channel_slowed", **fields)
        else:
            self._log.info("channel_recovered", **fields)

    def _log_slow_proxies(self, now_us: int) -> None:
        """Logs proxies that have not acknowledged an order within the grace period, each once."""
        for stream in self._publisher.streams.values():
            overdue_us = stream.overdue_us(now_us)
            is_slow = overdue_us > self._fleet.safety.drain_grace_us
            if is_slow and not stream.is_acknowledgement_late:
                self._log.warning(
                    "acknowledgement_delayed",
                    proxy=stream.proxy_name,
                    reason=f"it has not acknowledged an order from {overdue_us / 1e6:.1f} s ago",
                )
            stream.is_acknowledgement_late = is_slow
