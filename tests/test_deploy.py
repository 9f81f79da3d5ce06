"""What the platform's `run` loads and starts: one process, and nothing that it has no use for."""

from __future__ import annotations

import asyncio
import io
import os
import re
import subprocess
import sys
import tokenize
import tomllib
from pathlib import Path

import psutil

from gradehoist.testbed.platform import Node, Proxy, entry
from tests.support.platform_proxies import SETTINGS

ROOT = Path(__file__).parent.parent
LOADED = sorted(
    """
    gradehoist gradehoist.actors gradehoist.control_loop gradehoist.fleet_state
    gradehoist.fleet_state.endpoint_subscription gradehoist.fleet_state.fleet
    gradehoist.fleet_state.period_timer gradehoist.fleet_state.proxy_groups
    gradehoist.fleet_state.replica_actor gradehoist.fleet_state.replica_retention
    gradehoist.fleet_state.replica_table gradehoist.fleet_state.request_rates
    gradehoist.fleet_state.table_writer gradehoist.fleet_state.weight_tables
    gradehoist.fleet_state.withdrawals gradehoist.flow_control gradehoist.messages
    gradehoist.numeric gradehoist.policy gradehoist.policy.admission gradehoist.policy.locality
    gradehoist.policy.outlier gradehoist.policy.planner gradehoist.policy.pool
    gradehoist.policy.publisher gradehoist.policy.replica gradehoist.policy.subsetting
    gradehoist.policy.tables gradehoist.governor
    gradehoist.governor.health_checks
    gradehoist.governor.tables gradehoist.interface gradehoist.identifiers gradehoist.net
    gradehoist.net.client gradehoist.net.listener
    gradehoist.node gradehoist.node.__main__
    gradehoist.node.clock gradehoist.node.config gradehoist.node.connections gradehoist.node.core
    gradehoist.node.discovery gradehoist.node.discovery_client gradehoist.node.endpoint_list
    gradehoist.node.errors gradehoist.node.health_checker gradehoist.node.log gradehoist.node.malformed_input
    gradehoist.node.policy_runner gradehoist.node.proxy_streams gradehoist.node.push_batch
    gradehoist.node.push_contents gradehoist.node.service gradehoist.node.tasks gradehoist.node.trace
    gradehoist.protocol gradehoist.protocol.feed gradehoist.protocol.http
    gradehoist.protocol.http_head gradehoist.protocol.http_parser gradehoist.protocol.line_parser
    gradehoist.protocol.lines gradehoist.protocol.orca gradehoist.settings gradehoist.settings.platform
    gradehoist.store gradehoist.store.log_writer
""".split()
)
HEAVY = ("sqlite3", "kdl", "numpy", "highspy", "matplotlib", "click", "rich", "structlog", "multiprocessing")


def test_run_ends_in_one_python_process_and_build_needs_no_kit() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["run"] == "exec .venv/bin/python -m gradehoist.node"
    assert deploy["sim"] == "exec .venv/bin/python -m gradehoist.adapter"
    assert "given" not in "".join(str(v) for v in deploy.values())


def test_the_node_loads_its_own_modules_and_no_others() -> None:
    # The program's own imports come in `main`, behind the handlers of early signals: it gets as far as to say
    # that no configuration is named.
    code = (
        "import sys, gradehoist.node.__main__ as node\n"
        "assert node.main() == 2\n"
        "print(*sorted(m for m in sys.modules if m.split('.')[0] == 'gradehoist'))\n"
        f"print(*[m for m in {HEAVY!r} if m in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={k: v for k, v in os.environ.items() if k != "ROUTER_CONFIG"},
    )
    loaded, heavy = found.stdout.split("\n")[:2]
    assert loaded.split() == LOADED
    assert heavy == ""


def test_the_program_names_nothing_of_any_site() -> None:
    """Classes, zones, kinds, tiers, sites of the bench's deployments: they come from the settings alone."""
    named = set[str]()
    for path in sorted((ROOT / "deploy" / "sites").glob("*/*.toml")):
        site = tomllib.loads(path.read_text())
        named |= {site["name"], *site["net"]["zones"], *(c["name"] for c in site["class"])}
        named |= {x["name"] for tier in site["tier"] for x in (tier, *tier["kind"])}
    named |= {
        "rate-check",
        "booking-commit",
        "hall-a",
        "hall-b",
        "hall-c",
        "sync-fleet",
        "sapporo-east",
        "image-fetch",
        "cutout",
        "reserve",
        "regina-archive",
        "moose-jaw",
        "archive-servers",
    }
    assert len(named) > 25
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    places = [ROOT / place for place in (*deploy["policy"], *deploy["node"], "gradehoist/interface.py")]
    files = [f for place in places for f in (place.rglob("*.py") if place.is_dir() else [place])]
    said = {n: f for f in files for n in named if re.search(rf"\b{re.escape(n)}\b", code_of(f))}
    assert len(files) > 20
    assert not said


def code_of(path: Path) -> str:
    """Without comments: those may name the play that a failure was found on."""
    tokens = tokenize.generate_tokens(io.StringIO(path.read_text()).readline)
    return " ".join(t.string for t in tokens if t.type != tokenize.COMMENT)


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
            assert not [
                f.path
                for f in process.open_files()
                if "w" in getattr(f, "mode", "r") and f.path != str(node.log)
            ]
        finally:
            node.kill()

    asyncio.run(asyncio.wait_for(play(), 30))
