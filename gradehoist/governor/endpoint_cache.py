"""The endpoint list on disk, for a start while the list service is away."""

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
    """Writes the list that is in force after each change, and reads it at the start.

    The service owns it. The file holds the old list or the new one, never a part.
    """

    def __init__(self, shell: ShellState) -> None:
        """Works on the core's endpoint list."""
        self._core = shell.core
        self._log = shell.log
        self._path = shell.settings.state_folder / FILE_NAME
        self._changed = asyncio.Event()

    def load(self) -> None:
        """Puts the persisted list in force; a missing or damaged file is an empty list."""
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
        """Has the list written."""
        self._changed.set()

    async def run(self) -> None:
        """Writes the list after each change until it is cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            data = _ENCODER.encode(tuple(self._core.endpoint_list.endpoints.values()))
            try:
                await write_file_in_thread(self._path, data)
            except OSError as error:
                self._log.warning("endpoint_list_save_failed", path=str(self._path), reason=str(error))
