"""Reads batches of the simulator's wire protocol from standard input, and answers each on standard output."""

from __future__ import annotations

import sys

from gradehoist.adapter.host import Host


def main() -> int:
    """Serve until the end of the input; return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    host = Host(sys.stderr)
    for line in sys.stdin:
        reply = host.handle_line(line.rstrip("\r\n"))
        if reply is not None:
            sys.stdout.write(reply)
            sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
