"""Handles `KNOWN-RED.txt` at the root: tests known to fail because of a real fault that is not fixed yet.

A line is `TEST, CAUSE, ISSUE`. There are at most three lines, and without any line the file must not exist.
Each listed test is expected to fail, strictly, and is printed at the end of the run. The run fails if there
is a fourth line, if a line is malformed or names no existing test, or if a listed test passes.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3


def read_known_red() -> list[tuple[str, str, str]]:
    """Returns test, cause and issue of each line.

    Raises:
        pytest.UsageError: The file has too many lines or none, or a line is malformed.
    """
    if not KNOWN_RED_FILE.exists():
        return []
    entries = []
    for number, line in enumerate(KNOWN_RED_FILE.read_text().splitlines(), 1):
        test, _, rest = (part.strip() for part in line.partition(","))
        cause, _, issue = (part.strip() for part in rest.rpartition(","))
        if "::" not in test or not cause or not issue:
            raise pytest.UsageError(f"{KNOWN_RED_FILE.name}:{number}: expected TEST, CAUSE, ISSUE")
        entries.append((test, cause, issue))
    if not 0 < len(entries) <= MAX_LINES:
        raise pytest.UsageError(
            f"{KNOWN_RED_FILE.name}: {len(entries)} lines; expected 1 to {MAX_LINES}, or no file at all"
        )
    return entries


def pytest_sessionstart() -> None:
    read_known_red()


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    collected_files = {item.nodeid.split("::")[0] for item in items}
    # A run of single tests need not include the listed ones. A run of a whole file, or of all tests, has to.
    selects_files = any(arg.endswith(".py") for arg in config.args)
    selects_single_tests = any("::" in arg for arg in config.args)
    for test, cause, issue in read_known_red():
        matching = [item for item in items if item.nodeid == test or item.nodeid.startswith(test + "[")]
        for item in matching:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {cause} ({issue})"))
        if (
            not matching
            and not selects_single_tests
            and (test.split("::")[0] in collected_files or not selects_files)
        ):
            raise pytest.UsageError(f"{KNOWN_RED_FILE.name}: there is no test {test}")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for test, cause, issue in read_known_red():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause} ({issue})")
