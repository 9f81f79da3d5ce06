"""The state that the components of the service share: the core, and the signals between their tasks."""

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
    """Events by which one task of the service wakes another.

    Attributes:
        core_changed: the core may have something due earlier than scheduled.
        events_pending: the policies have pending events.
        urgent_change: a replica is listed as draining or gone, which must not wait for the next slot.
    """

    core_changed: asyncio.Event = field(default_factory=asyncio.Event)
    events_pending: asyncio.Event = field(default_factory=asyncio.Event)
    urgent_change: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class ShellState:
    """The state that the service owns and passes to its components, the I/O shell around the core.

    Attributes:
        core: the state machine of the governor.
        settings: the settings of this governor.
        signals: events that wake the tasks.
        clients: HTTP clients for the replicas.
        tasks: the background tasks; if one fails, the governor stops.
        log: the log of the process.
    """

    core: GovernorCore
    settings: GovernorSettings
    signals: Signals
    clients: ReplicaClients
    tasks: BackgroundTasks
    log: FilteringBoundLogger
