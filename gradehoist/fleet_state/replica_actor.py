"""State of one replica's actor: load reports and the progress of its slow start."""

from dataclasses import replace

from gradehoist.actors import Actor, MessageLoop
from gradehoist.control_loop import SmoothedLoad
from gradehoist.interface import AttemptsReported, CheckHealth, LoadReport, PolicyConfig
from gradehoist.messages import EndpointChanged, ReplicaChanged, ReplicaState, WriteOrders
from gradehoist.numeric import clamp


class ReplicaActor(Actor):
    """Keeps the state of one replica and sends it to the pool; a subclass decides how it changes."""

    receives_published = False
    # The share of the weight at which slow start begins; subclasses set it.
    SLOW_START = 1.0

    def __init__(self, loop: MessageLoop, state: ReplicaState, config: PolicyConfig) -> None:
        """Create the actor of a replica that appears in the endpoint list for the first time."""
        super().__init__(loop)
        self.state = state
        self.config = config
        self._restart()

    def _restart(self) -> None:
        # Only the weight and the report period are kept over a restart of the replica.
        warmup_us = self.config.safety.warmup_us
        started_us = self.state.endpoint.started_us
        self.start_ramp(started_us if started_us > 0 else -warmup_us, warmup_us)
        self.state = ReplicaState(self.state.endpoint, self.state.weight, self.state.period_us)
        self.new_load: LoadReport | None = None
        self.ejections = 0  # since the replica started

    def start_ramp(self, start_us: int, length_us: int) -> None:
        """Begin a slow start that lasts from `start_us` for `length_us`."""
        self._ramp_start_us = start_us
        self._ramp_us = length_us

    def publish_state(self) -> None:
        """Send the state to the pool, with the share of the weight that slow start allows now."""
        progress = (self.loop.now_us - self._ramp_start_us) / max(1, self._ramp_us)
        slow_start = self.SLOW_START + (1 - self.SLOW_START) * clamp(progress, 0.0, 1.0)
        self.state = replace(self.state, slow_start=slow_start)
        self.loop.publish(ReplicaChanged(self.state))

    def report_load(self, load: SmoothedLoad) -> None:
        """Copy the smoothed load into the state, after `load` was updated with the last report."""
        self.new_load = None
        self.state = replace(
            self.state, busy_share=load.busy_share, in_flight=load.in_flight, reported_us=self.loop.now_us
        )

    def check_health(self) -> None:
        """Order a health check."""
        check = CheckHealth(self.state.endpoint.replica)
        self.loop.publish(WriteOrders([check], proxies=[], lines=0))

    def _on_endpoint_changed(self, changed: EndpointChanged) -> None:
        has_restarted = changed.endpoint.started_us > self.state.endpoint.started_us
        self.state = replace(self.state, endpoint=changed.endpoint)
        # A replica that has restarted need not have been listed as gone in between.
        if has_restarted:
            self._restart()
        self.publish_state()

    def add_report(self, report: AttemptsReported, window_us: int, smoothing: float) -> None:
        """Add a report to the totals, and smooth the report period with its `window_us`."""
        self.new_load = report.load or self.new_load
        period_us = self.state.period_us
        period_us += int(smoothing * (window_us - period_us))
        self.state = replace(self.state, totals=self.state.totals.plus(report), period_us=period_us)
