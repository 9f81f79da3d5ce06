"""One replica: smoothed load, weight control, slow start, and the course of its ejections."""

from dataclasses import replace

from gradehoist import messages
from gradehoist.actors import SECOND
from gradehoist.control_loop import PIController, SmoothedLoad
from gradehoist.fleet_state import ReplicaActor
from gradehoist.interface import AttemptsReported, HealthChecked, HealthCheckOutcome
from gradehoist.numeric import clamp, max_by_key, relative_to_mean
from gradehoist.policy.outlier import ejection_time_us, is_failing

MIN_WEIGHT, MAX_WEIGHT = 0.05, 4.0  # the design's bounds on a normalized weight
DEAD_BAND = 0.05  # the design's dead band, softened by the readings' scatter: weights walked with the noise
SMOOTHING = 1 / 3  # weight of the newest of about five reports: 2 / (5 + 1)
KEPT = 0.5  # of attempts, each period or second
GAIN_P, GAIN_I = 0.06, 0.005  # per second: lags of up to 8 s allow a loop gain of half a turn at most
WARM_RAMP = 4  # divisor of the warm-up time after an ejection: warm as a rule, a replica ramps up sooner
MAX_STEP = 0.25  # the design's cap on a step, as a part of the weight
INITIAL_SCATTER, SCATTER_SMOOTHING = 0.5, 0.1  # slow, so that a true change does not pass for scatter
MAX_WINDOW = 60 * SECOND  # a longer window covers a pause of ours: one of an hour froze the loop for minutes
MIN_RELATIVE_SIZE = 0.01  # of the mean size: a replica listed without one is not infinitely small
MIN_SUCCESS_SHARE = 0.1  # a replica's load counts for ten times as much at most, however many attempts fail


class Replica(ReplicaActor):
    """The control loop of one replica; the pool gets each change of its state."""

    SLOW_START = 0.1  # the design's start for new replicas: a tenth of average

    def _restart(self) -> None:
        super()._restart()
        self.load = SmoothedLoad(SMOOTHING, SCATTER_SMOOTHING, INITIAL_SCATTER)
        self.controller = PIController(GAIN_P, GAIN_I)

    def _on_attempts_reported(self, report: AttemptsReported) -> None:
        self.add_report(report, min(report.window_us, MAX_WINDOW), SMOOTHING)
        if not self.state.is_ejected and is_failing(self.state.totals):
            self.loop.publish(messages.ReplicaFailing(report.replica, self.state.totals.failure_share))

    def _on_period_elapsed(self, _: messages.PeriodElapsed) -> None:
        if self.new_load:
            self.load.update(self.new_load)
            self.report_load(self.load)
        self.publish_state()
        totals = self.state.totals.scaled(KEPT ** min(1.0, self.state.period_us / SECOND))
        self.state = replace(self.state, totals=totals)

    def _on_adjust_weight(self, step: messages.AdjustWeight) -> None:
        weight = self.state.weight
        if self.state.slow_start >= 1.0 and not step.is_stale:  # below that slow start rules
            error = step.error
            error *= 0.0 if abs(error) < DEAD_BAND else error**2 / (error**2 + self.load.scatter**2)
            weight += self.controller.step(error, self.state.period_us, MAX_STEP * weight)
        scaled = weight * step.scale
        weight = clamp(scaled, MIN_WEIGHT, MAX_WEIGHT)
        if weight != scaled:
            self.controller.reset()  # no winding up at the bounds either
        self.state = replace(self.state, weight=weight)
        self.publish_state()

    def _on_eject(self, _: messages.Eject) -> None:
        if not self.state.is_ejected:
            self.ejections += 1
        self.state = replace(self.state, is_ejected=True)
        delay_us = ejection_time_us(self.ejections, self.state.period_us)
        self.loop.schedule(delay_us, self, messages.EjectionExpired(self.ejections))
        self.publish_state()

    def _on_ejection_expired(self, expired: messages.EjectionExpired) -> None:
        is_current = expired.ejection == self.ejections
        if is_current and self.config.load_reporting.health_checks_allowed:
            self.check_health()
        elif is_current:
            self._on_readmit(messages.Readmit())

    def _on_health_checked(self, check: HealthChecked) -> None:
        if check.outcome is HealthCheckOutcome.HEALTHY:
            self._on_readmit(messages.Readmit())
        elif self.state.is_ejected:
            self._on_eject(messages.Eject())

    def _on_readmit(self, _: messages.Readmit) -> None:
        if self.state.is_ejected:
            totals = messages.AttemptTotals(elapsed_us=self.state.totals.elapsed_us)
            self.state = replace(self.state, is_ejected=False, totals=totals)
            ramp_us = max(2 * self.state.period_us, self.config.safety.warmup_us // WARM_RAMP)
            self.start_ramp(self.loop.now_us, ramp_us)  # flapping replicas start low each return
            self.publish_state()


def relative_utilization(states: dict[int, messages.ReplicaState]) -> dict[int, float]:
    """Return the larger of each replica's busy share and requests in flight, as a multiple of the mean."""
    busy = {n: s.busy_share for n, s in states.items() if s.busy_share is not None}
    sizes = relative_to_mean({n: s.endpoint.size for n, s in states.items()})
    queued = {n: s.in_flight for n, s in states.items() if s.in_flight is not None}
    # One more, as chance counts of an idle pool are no load; the root, as size may be cores or speed.
    in_flight = {n: 1 + count / max(sizes[n], MIN_RELATIVE_SIZE) ** 0.5 for n, count in queued.items()}
    used = max_by_key(relative_to_mean(busy), relative_to_mean(in_flight))
    # Replicas that fail attempts, or report too little, look idle: load counts by what succeeds.
    return {n: load / max(MIN_SUCCESS_SHARE, states[n].totals.success_share) for n, load in used.items()}
