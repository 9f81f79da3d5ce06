"""The list of tests known to fail passes over just these, and over nothing else."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import conftest

GOOD = "tests/test_some.py::test_red, a cause, with a comma, issue 7"
SOME = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


def run(folder: Path, text: str | None, tests: str = SOME) -> tuple[int, str]:
    (folder / "tests").mkdir()
    shutil.copy(str(conftest.__file__), folder / "tests" / "conftest.py")
    (folder / "tests" / "test_some.py").write_text(tests)
    if text is not None:
        (folder / "KNOWN-RED.txt").write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir", "."],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def test_a_listed_failure_is_passed_over_and_printed(tmp_path: Path) -> None:
    code, told = run(tmp_path, GOOD + "\n")
    assert code == 0 and "1 passed, 1 xfailed" in told
    assert "KNOWN RED tests/test_some.py::test_red: a cause, with a comma (issue 7)" in told


@pytest.mark.parametrize(("text", "tests", "why"), [
    (None, SOME, "1 failed"), (GOOD, SOME.replace("assert False", "pass"), "XPASS(strict)"),
    (GOOD, SOME.replace("green():\n    pass", "green():\n    assert 0"), "1 failed, 1 xfailed"),
    ("\n".join([GOOD] * 4), SOME, "4 lines"), ("", SOME, "0 lines"),
    ("tests/test_some.py::test_red; no comma", SOME, ":1: write"), (GOOD + "\nx, y, z", SOME, ":2: write"),
    ("tests/test_some.py::test_other, a cause, issue 7", SOME, "no test tests/test_some.py::test_other"),
    ("tests/test_none.py::test_red, a cause, issue 7", SOME, "no test tests/test_none.py::test_red"),
])  # fmt: skip
def test_anything_else_fails_the_run(tmp_path: Path, text: str | None, tests: str, why: str) -> None:
    code, told = run(tmp_path, text, tests)
    assert code != 0 and why in told
