"""The governor with its module in the loop's own process, to measure what the planner's process is worth."""

from __future__ import annotations

from typing import Any

from gradehoist.governor import policy_process, service


class Inline:
    def __init__(self, starts: Any, now: int, slotted: bool) -> None:
        self.modules, self.cpu, self.pid = policy_process.PolicyHost(starts, now, slotted), 0.0, 0

    async def handle(self, now: int, batches: Any, timers: bool = True) -> Any:
        return self.modules.handle(now, batches, timers)

    async def close(self) -> None: ...


if __name__ == "__main__":
    service.PolicyProcess = Inline  # type: ignore[assignment,attr-defined]
    from gradehoist.cli.main import main

    main(prog_name="gradehoist")
