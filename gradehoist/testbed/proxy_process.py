"""The process that runs the proxies of one zone and executes the commands of the run for them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from gradehoist.testbed.process import Process
from gradehoist.testbed.proxy import Proxy
from gradehoist.testbed.scenario_plan import Plan


class ProxyProcess(Process):
    """Runs the proxies of one zone; role `relays-ZONE`."""

    def __init__(self, plan: Plan, role: str, folder: Path) -> None:
        """Creates the proxies of the zone that the role names."""
        super().__init__(plan, role, folder)
        zone = role.removeprefix("relays-")
        self.proxies = {proxy.name: Proxy(self, proxy, plan) for proxy in plan.proxies if proxy.zone == zone}

    async def start(self) -> None:
        """Starts all proxies."""
        for proxy in self.proxies.values():
            proxy.start()

    def on_command(self, command: dict[str, Any]) -> None:
        """Executes a command of the run for each proxy that it names.

        `die` stops a proxy, `start` starts it again, and `aim` selects its next governor.
        """
        for name in command["relays"]:
            proxy = self.proxies[name]
            match command["do"]:
                case "die":
                    proxy.stop()
                case "start":
                    proxy.start()
                case "aim":
                    proxy.feed.select_governor(command["governor"], after_reconnect=bool(command.get("next")))
                case _:
                    raise ValueError(f"unknown command {command['do']!r} for a proxy")
