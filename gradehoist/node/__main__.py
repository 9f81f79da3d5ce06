"""`python -m gradehoist.node` is one governor on the platform; its log is standard error."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path


def main() -> int:
    # Before the imports, which take a third of a second: SIGTERM then ended the process by the signal, and
    # SIGHUP, which only says that the file is new, as well.
    news = list[int]()
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, lambda sign, _: news.append(sign))

    import asyncio
    import gc

    from gradehoist.node import config
    from gradehoist.node.service import NodeService

    path = os.environ.get("ROUTER_CONFIG", "")
    if not path:
        print("ROUTER_CONFIG: not set; name the configuration file in it", file=sys.stderr)
        return 2
    try:
        found = config.load_config(Path(path))
    except config.ConfigError as fault:
        print(fault, file=sys.stderr)
        return 2
    service = NodeService(found, Path(path))
    gc.freeze()  # what is imported stays: collections then look at the new alone
    return asyncio.run(service.run(lambda: bool(news)))


if __name__ == "__main__":
    sys.exit(main())
