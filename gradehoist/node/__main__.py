"""`python -m gradehoist.node` is one governor on the platform; its log is standard error."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from pathlib import Path

from gradehoist.node import config
from gradehoist.node.service import Service


def main() -> int:
    path = os.environ.get("ROUTER_CONFIG", "")
    if not path:
        print("ROUTER_CONFIG: not set; name the configuration file in it", file=sys.stderr)
        return 2
    try:
        found = config.load(Path(path))
    except config.Faulty as fault:
        print(fault, file=sys.stderr)
        return 2
    service = Service(found, Path(path))
    gc.freeze()  # what is imported stays: collections then look at the new alone
    return asyncio.run(service.run())


if __name__ == "__main__":
    sys.exit(main())
