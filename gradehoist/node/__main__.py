"""Runs one platform node with `python -m gradehoist.node`; the node logs to standard error."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

CONFIG_VARIABLE = "ROUTER_CONFIG"
EXIT_INVALID_CONFIG = 2


def main() -> int:
    """Runs a node with the configuration file named by ROUTER_CONFIG and returns the exit code."""
    # Install the signal handlers before the imports, which take a third of a second. With the default
    # handlers, a SIGTERM in that time killed the process instead of stopping it cleanly, and so did a SIGHUP,
    # which only reports that the file has changed.
    received_reloads = list[int]()
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, lambda number, _: received_reloads.append(number))

    import asyncio
    import gc

    from gradehoist.node.config import ConfigError, load_config
    from gradehoist.node.service import NodeService

    path = os.environ.get(CONFIG_VARIABLE, "")
    if not path:
        print(f"{CONFIG_VARIABLE} is not set; set it to the path of the configuration file", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    try:
        config = load_config(Path(path))
    except ConfigError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_CONFIG
    service = NodeService(config, Path(path))
    # Imported objects live as long as the process: exclude them so that collections scan newer objects only.
    gc.freeze()
    return asyncio.run(service.run(reload_requested=lambda: bool(received_reloads)))


if __name__ == "__main__":
    sys.exit(main())
