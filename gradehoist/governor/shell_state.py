"""What the parts of the governor's shell share: the core, and the signals between its tasks."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from structlog.typing import FilteringBoundLogger

from gradehoist.governor.core import GovernorCore
from gradehoist.governor.replica_clients import ReplicaClients
from gradehoist.net.background_tasks import BackgroundTasks
from gradehoist.settings.fleet import GovernorSettings


@dataclass(frozen=True, slots=True)
class Signals:
    """Events by which one task of the shell wakes another.

    Attributes:
        core_changed: the core may have something due earlier than planned.
        events_pending: the policies have events to be given.
        urgent_change: a drain or exit was listed that must not wait for the next slot.
    """

    core_changed: asyncio.Event = field(default_factory=asyncio.Event)
    events_pending: asyncio.Event = field(default_factory=asyncio.Event)
    urgent_change: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class ShellState:
    """Owned by the service and given to its parts.

    Attributes:
        core: the governor's core.
        settings: the settings of this governor.
        signals: wake its tasks.
        clients: connections to replicas.
        tasks: the background tasks; the failure of one ends the governor.
        log: the process's log.
    """

    core: GovernorCore
    settings: GovernorSettings
    signals: Signals
    clients: ReplicaClients
    tasks: BackgroundTasks
    log: FilteringBoundLogger
