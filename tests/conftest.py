"""Tests known to fail for a real fault that is still to be mended: `KNOWN-RED.txt` at the root.

A line is `TEST, CAUSE, ISSUE`, three at most; no line, no file. Each is expected to fail, strictly, and
is printed at the end. What is not so fails the run: a fourth line, one that can't be read, one that names
no test, a listed test that passes.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def lines() -> list[tuple[str, str, str]]:
    """Test, cause and issue of each line. Raises pytest.UsageError."""
    if not LIST.exists():
        return []
    found = []
    for n, line in enumerate(LIST.read_text().splitlines(), 1):
        test, _, rest = (part.strip() for part in line.partition(","))
        cause, _, issue = (part.strip() for part in rest.rpartition(","))
        if "::" not in test or not cause or not issue:
            raise pytest.UsageError(f"{LIST.name}:{n}: write TEST, CAUSE, ISSUE")
        found.append((test, cause, issue))
    if not 0 < len(found) <= MOST:
        raise pytest.UsageError(f"{LIST.name}: {len(found)} lines; {MOST} at most, and no file without one")
    return found


def pytest_sessionstart() -> None:
    lines()


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    collected = {item.nodeid.split("::")[0] for item in items}
    # A run of some tests alone need not have those listed; one of a whole file, or of all, must.
    files = any(arg.endswith(".py") for arg in config.args)
    single = any("::" in arg for arg in config.args)
    for test, cause, issue in lines():
        meant = [item for item in items if item.nodeid == test or item.nodeid.startswith(test + "[")]
        for item in meant:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {cause} ({issue})"))
        if not meant and not single and (test.split("::")[0] in collected or not files):
            raise pytest.UsageError(f"{LIST.name}: there is no test {test}")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for test, cause, issue in lines():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause} ({issue})")
