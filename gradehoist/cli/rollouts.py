"""Implements `gradehoist cells release`: the rollout of a release over the cells."""

from __future__ import annotations

import asyncio
import shlex
from dataclasses import dataclass
from pathlib import Path

from gradehoist.cells.rollout import Rollout, RolloutStep
from gradehoist.cli.errors import InputError
from gradehoist.cli.placement_files import require_placement
from gradehoist.migration.records import load_rollout
from gradehoist.migration.rollout import RolloutRunner
from gradehoist.settings.fleet import CellPlacement, Settings
from gradehoist.store.folder_lock import FolderLock, FolderLockedError

# Separate from the lock of migrations, which may run during a rollout.
LOCK_NAME = "release.lock"


@dataclass(frozen=True, slots=True)
class RolloutOptions:
    """The options of a rollout.

    Attributes:
        update_command: The command that updates one replica; empty to resume the rollout that is under way.
        rollback_command: The command that restores one replica after a halt.
        cells: The cells in the order of their update; empty for all cells of the placement.
        batch_size: The number of replicas that are updated at a time.
        soak_s: How long an updated cell is observed, in seconds.
        return_timeout_s: How long an updated replica may take to be ready again, in seconds.
    """

    update_command: str
    rollback_command: str
    cells: tuple[str, ...]
    batch_size: int
    soak_s: float
    return_timeout_s: float


def run_rollout(settings: Settings, store: Path, options: RolloutOptions) -> bool:
    """Runs a new rollout, or resumes the one under way; returns whether it updated every cell.

    Raises:
        InputError: An option is invalid, another process runs a rollout, or its record can't be read.
    """
    placement = require_placement(settings)
    _check_options(options, placement)
    try:
        lock = FolderLock(store, LOCK_NAME)
    except FolderLockedError as error:
        raise InputError(f"{error}; only one release may run at a time, so wait for it or end it") from None
    try:
        rollout = _create_or_resume(load_rollout(store), options, placement)
        runner = RolloutRunner(settings, store, options.soak_s, options.return_timeout_s, _print_progress)
        ended = asyncio.run(runner.run(rollout))
    except ValueError as error:
        raise InputError(str(error)) from None
    finally:
        lock.release()
    return ended.step is RolloutStep.DONE


def _check_options(options: RolloutOptions, placement: CellPlacement) -> None:
    for command in (options.update_command, options.rollback_command):
        try:
            shlex.split(command)
        except ValueError as error:
            raise InputError(f"{command!r} is not a valid command: {error}; correct its quotes") from None
    if unknown := [cell for cell in options.cells if cell not in placement.cells]:
        raise InputError(f"no cell {', '.join(unknown)}; the placement has {', '.join(placement.cells)}")


def _create_or_resume(last: Rollout | None, options: RolloutOptions, placement: CellPlacement) -> Rollout:
    under_way = last is not None and last.step not in (RolloutStep.DONE, RolloutStep.HALTED)
    if not options.update_command:
        if last is None or not under_way:
            raise InputError("no release is under way; start one with --run COMMAND")
        return last
    if last is not None and under_way:
        raise InputError(f"release {last.id} is under way in {last.cell}; omit --run to resume it")
    number = int(last.id) + 1 if last else 1
    cells = options.cells or placement.cells
    return Rollout(
        id=f"{number:06d}",
        cells=cells,
        replicas={cell: tuple(sorted(placement.replicas_of(cell))) for cell in cells},
        batch_size=options.batch_size,
        command=options.update_command,
        rollback_command=options.rollback_command,
    )


def _print_progress(rollout: Rollout, text: str) -> None:
    print(f"release {rollout.id} {rollout.step.value}: {text}", flush=True)
