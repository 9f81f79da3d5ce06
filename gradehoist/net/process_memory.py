"""The memory limit that this process was given, and what it uses."""

from __future__ import annotations

import os
import resource
from pathlib import Path

_CGROUP_ROOT = Path("/sys/fs/cgroup")
_CGROUP_FILE = Path("/proc/self/cgroup")
_USAGE_FILE = Path("/proc/self/statm")
_BYTES_PER_KIBIBYTE = 1_024


def memory_limit_bytes() -> int:
    """Returns the lowest of the resource limits, the control group's limit and the machine's memory."""
    limits = [os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")]
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA, resource.RLIMIT_RSS):
        soft_limit, _ = resource.getrlimit(kind)
        if soft_limit != resource.RLIM_INFINITY:
            limits.append(soft_limit)
    return min(limits + _control_group_limits())


def used_memory_bytes() -> int:
    """Returns the resident memory that this process uses now."""
    try:
        resident_pages = int(_USAGE_FILE.read_text().split()[1])
    except OSError:
        return peak_memory_bytes()
    return resident_pages * os.sysconf("SC_PAGE_SIZE")


def peak_memory_bytes() -> int:
    """Returns the most resident memory that this process has used; it includes that of its parent's image."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _BYTES_PER_KIBIBYTE


def _control_group_limits() -> list[int]:
    """Returns the limits of the process's control group and those above it (cgroup version 2)."""
    try:
        path = _CGROUP_FILE.read_text().strip().rpartition("::")[2]
    except OSError:
        return []
    folder = _CGROUP_ROOT / path.lstrip("/")
    limits: list[int] = []
    while folder.is_relative_to(_CGROUP_ROOT):
        limit = _read_limit(folder / "memory.max")
        if limit is not None:
            limits.append(limit)
        folder = folder.parent
    return limits


def _read_limit(path: Path) -> int | None:
    try:
        text = path.read_text().strip()
    except OSError:
        return None
    return int(text) if text.isdecimal() else None
