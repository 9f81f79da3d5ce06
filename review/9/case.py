"""The fleet shrinks as the page on sapporo-east's growth names it, and drains reach proxies too late.

The governors run by the line `run` of the deploy file; discovery, proxies, collectors, replicas and clients
are those of `review/platform_day.py`.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_day import SOCKET_SLACK_S, Day, Replica, build_settings  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 46
ZONES = ["a", "b", "c"]
REPLICAS = 35  # the page: 26 to 35
PROXIES = 70  # the page: 59 to 80
REQUESTS_PER_S = 270.0  # the page: about 270
CALM_S = 40.0  # by then few weights change, so few messages are spent on them
SHRINK_S = 8.2  # the page: 8.2 to 25 s
SHRINK_TO = 0.34  # the page: 33 to 77%
DRAIN_S = 5.0  # from the listing as leaving to the end of the process
AFTER_S = 9.0
EXIT_KEPT, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


async def end_replica(day: Day, replica: Replica) -> None:
    """List a drained replica as left, and end it."""
    await asyncio.sleep(DRAIN_S)
    replica.phase = "left"
    day.list_change([replica])
    await asyncio.sleep(0.1)
    replica.die()


async def shrink(day: Day) -> None:
    """Let the traffic fall, and the fleet with it, one replica after the other."""
    leaving = day.random.sample(list(day.replicas.values()), round(REPLICAS * (1 - SHRINK_TO)))
    day.load = SHRINK_TO
    for replica in leaving:
        replica.phase = "leaving"
        day.list_change([replica])
        day.background.add(asyncio.create_task(end_replica(day, replica)))
        await asyncio.sleep(SHRINK_S / len(leaving))


async def play(day: Day) -> None:
    """Play the day."""
    day.loop = asyncio.get_running_loop()
    for number in range(REPLICAS):
        is_large = number % 2 == 1
        cores, speed = (4, 1.5) if is_large else (2, 1.0)
        await day.add_replica(f"s-{number:03d}", ZONES[number % 3], cores=cores, speed=speed)
    day.add_proxies(PROXIES, ZONES)
    try:
        await day.begin(["a", "b"])
        await asyncio.sleep(CALM_S)
        if HAS_TROUBLE:
            await shrink(day)
        else:
            await asyncio.sleep(SHRINK_S)
        await asyncio.sleep(AFTER_S)
    finally:
        await day.end()


def main() -> int:
    """Play the day, write the record and return the verdict."""
    day = Day(build_settings(proxies=PROXIES), seed=SEED, requests_per_s=REQUESTS_PER_S)
    code = EXIT_NOT_RUN
    try:
        asyncio.run(play(day))
        is_sound = not day.crashes and day.answered > 0.9 * day.asked
        code = EXIT_BROKEN if day.late_sends else EXIT_KEPT if is_sound else EXIT_NOT_RUN
    except (OSError, RuntimeError) as error:
        day.record("failed", f"could not run: {error}")
    limit_s = day.guarantees["drain-grace"] + SOCKET_SLACK_S
    summary = [f"TROUBLE={int(HAS_TROUBLE)}; exit {code}", *day.summary()]
    summary += [
        f"{name}: {len(sends)} sends later than {limit_s:.1f} s after the telling, the latest "
        f"{max(sends):.2f} s"
        for name, sends in sorted(day.late_sends.items())
    ]
    logs = [line for governor in day.governors for line in governor.read_log()]
    (FOLDER / "record.txt").write_text("\n".join([*summary, "", *day.events, "", *logs]) + "\n")
    print("\n".join(summary))
    return code


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
