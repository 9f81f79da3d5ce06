"""A copy of the endpoint list on disk, used at a start while the list service is unavailable."""

from __future__ import annotations

import asyncio

import msgspec

from gradehoist.clock import monotonic_us
from gradehoist.governor.shell_state import ShellState
from gradehoist.protocol.feed import EndpointRecord
from gradehoist.store.atomic_file import write_file_in_thread

FILE_NAME = "roster.json"  # in the state folder
_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[tuple[EndpointRecord, ...]] = msgspec.json.Decoder(tuple[EndpointRecord, ...])


class EndpointCache:
    """Writes the current list after each change, and reads it at the start.

    The service owns it. The file is replaced atomically: it holds the old list or the new one.
    """

    def __init__(self, shell: ShellState) -> None:
        """Creates a cache of the core's endpoint list; `load` and `run` access the file."""
        self._core = shell.core
        self._log = shell.log
        self._path = shell.settings.state_folder / FILE_NAME
        self._changed = asyncio.Event()

    def load(self) -> None:
        """Loads the persisted list into the core; a missing or damaged file counts as an empty list."""
        records: tuple[EndpointRecord, ...] = ()
        try:
            records = _DECODER.decode(self._path.read_bytes())
            reason = "stale until the list service answers"
            self._log.info("endpoint_list_loaded", replicas=len(records), reason=reason)
        except FileNotFoundError:
            pass
        except (OSError, msgspec.MsgspecError) as error:
            self._log.warning("endpoint_list_load_failed", path=str(self._path), reason=str(error))
        self._core.load_cached_endpoints(monotonic_us(), records)

    def mark_changed(self) -> None:
        """Requests that the list is written."""
        self._changed.set()

    async def run(self) -> None:
        """Writes the list after each change until the task is cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            data = _ENCODER.encode(tuple(self._core.endpoint_list.endpoints.values()))
            try:
                await write_file_in_thread(self._path, data)
            except OSError as error:
                self._log.warning("endpoint_list_save_failed", path=str(self._path), reason=str(error))
