"""The governor with its policies in the event loop's process, to measure the benefit of a policy process."""

from __future__ import annotations

from typing import Any

from gradehoist.governor import policy_host, service


class InlinePolicy:
    """Takes the place of `PolicyProcess` and runs the policies in the governor's event loop."""

    def __init__(self, configs: Any, now_us: int, runs_timers: bool, drain_grace_us: int) -> None:
        """Starts the policies; the drain grace matters only to a policy process and is ignored."""
        self.host = policy_host.PolicyHost(configs, now_us, runs_timers)
        self.cpu_s = 0.0
        self.pid = 0

    async def handle(self, now_us: int, batches: Any, fires_timers: bool = True) -> Any:
        """Handles batches of events as the policy process does."""
        return self.host.handle(now_us, batches, fires_timers)

    async def close(self) -> None:
        """Does nothing: there is no process to end."""


if __name__ == "__main__":
    service.PolicyProcess = InlinePolicy  # type: ignore[assignment,attr-defined]
    from gradehoist.cli.main import main

    main(prog_name="gradehoist")
