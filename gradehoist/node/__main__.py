"""`python -m gradehoist.node` is one node on the platform; its log is standard error."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

CONFIG_VARIABLE = "ROUTER_CONFIG"
EXIT_INVALID_CONFIG = 2


def main() -> int:
    """Runs a node with the configuration that ROUTER_CONFIG names, and returns the exit code."""
    # The handlers come before the imports, which take a third of a second: SIGTERM then ended the process by
    # the signal, and so did SIGHUP, which only says that the file has changed.
    received_reloads = list[int]()
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, lambda number, _: received_reloads.append(number))

    import asyncio
    import gc

    from gradehoist.node.config import ConfigError, load_config
    from gradehoist.node.service import NodeService

    path = os.environ.get(CONFIG_VARIABLE, "")
    if not path:
        print(f"{CONFIG_VARIABLE}: not set; name the configuration file in it", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    try:
        config = load_config(Path(path))
    except ConfigError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_CONFIG
    service = NodeService(config, Path(path))
    gc.freeze()  # what is imported stays, so that collections look at newer objects alone
    return asyncio.run(service.run(reload_requested=lambda: bool(received_reloads)))


if __name__ == "__main__":
    sys.exit(main())
