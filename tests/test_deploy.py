"""What the platform's `run` loads and starts: one process, and nothing that it has no use for."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tomllib
from pathlib import Path

import psutil

from gradehoist.standin.platform import Node, Proxy, entry
from tests.node_site import SETTINGS

ROOT = Path(__file__).parent.parent
LOADED = """
    gradehoist gradehoist.choice gradehoist.governor gradehoist.governor.probes
    gradehoist.governor.tables gradehoist.interface gradehoist.names gradehoist.net
    gradehoist.net.client gradehoist.net.listener gradehoist.node gradehoist.node.__main__
    gradehoist.node.config gradehoist.node.core gradehoist.node.discovery gradehoist.node.log
    gradehoist.node.service gradehoist.protocol gradehoist.protocol.feed gradehoist.protocol.http
    gradehoist.protocol.lines gradehoist.protocol.orca gradehoist.settings
    gradehoist.settings.platform gradehoist.store gradehoist.store.sink
""".split()
HEAVY = ("sqlite3", "kdl", "numpy", "highspy", "matplotlib", "click", "rich", "structlog", "multiprocessing")


def test_run_ends_in_one_python_process_and_build_needs_no_kit() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["run"] == "exec .venv/bin/python -m gradehoist.node"
    assert deploy["sim"] == "exec .venv/bin/python -m gradehoist.adapter"
    assert "given" not in "".join(str(v) for v in deploy.values())


def test_the_node_loads_its_own_modules_and_no_others() -> None:
    code = ("import sys, gradehoist.node.__main__\n"
            "print(*sorted(m for m in sys.modules if m.split('.')[0] == 'gradehoist'))\n"
            f"print(*[m for m in {HEAVY!r} if m in sys.modules])")
    found = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded, heavy = found.stdout.split("\n")[:2]
    assert loaded.split() == LOADED and heavy == ""


def test_the_running_node_starts_no_process_and_writes_no_file(tmp_path: Path) -> None:
    async def play() -> None:
        node = Node(tmp_path, SETTINGS, [entry(f"s-{n}", locality="ab"[n % 2]) for n in range(4)])
        try:
            await node.start()
            await Proxy(node).join()
            await asyncio.sleep(0.5)
            assert node.child is not None
            process = psutil.Process(node.child.pid)
            assert process.children(recursive=True) == []
            assert not [f.path for f in process.open_files()
                        if "w" in getattr(f, "mode", "r") and f.path != str(node.log)]
        finally:
            node.kill()
    asyncio.run(asyncio.wait_for(play(), 30))
