"""Control of one replica: smoothed load, weight, slow start, ejection and readmission."""

from dataclasses import replace

from gradehoist import messages
from gradehoist.actors import SECOND
from gradehoist.control_loop import PIController, SmoothedLoad
from gradehoist.fleet_state import ReplicaActor
from gradehoist.interface import AttemptsReported, HealthChecked, HealthCheckOutcome
from gradehoist.numeric import clamp, max_by_key, relative_to_mean
from gradehoist.policy.outlier import ejection_time_us, is_failing

MIN_WEIGHT, MAX_WEIGHT = 0.05, 4.0  # The design's bounds of a normalized weight.
DEAD_BAND = 0.05  # The design's. Larger errors are damped by the deviation, or weights would follow noise.
SMOOTHING = 1 / 3  # An exponential moving average over about five reports: 2 / (5 + 1).
ATTEMPT_DECAY = 0.5  # Of the attempt totals, each report period, or each second where the period is shorter.
GAIN_P, GAIN_I = 0.06, 0.005  # Per second: with delays of up to 8 s, gain times delay may be a half at most.
READMISSION_RAMP_DIVISOR = 4  # Of the warm-up time: ejected replicas are usually warm and ramp up sooner.
MAX_STEP = 0.25  # The design's limit of a step, relative to the weight.
INITIAL_DEVIATION, DEVIATION_SMOOTHING = 0.5, 0.1  # Slow smoothing: a real change must not count as noise.
MAX_WINDOW_US = 60 * SECOND  # Longer windows come from pauses; one of an hour froze the loop for minutes.
MIN_RELATIVE_SIZE = 0.01  # Of the mean size, so that a replica listed without a size has a finite load.
MIN_SUCCESS_SHARE = 0.1  # Failed attempts raise a replica's load tenfold at most.


class ReplicaController(ReplicaActor):
    """Controls one replica, and sends each change of its state to the pool."""

    SLOW_START = 0.1  # The design's initial weight of a new replica: a tenth of the average.

    def _restart(self) -> None:
        super()._restart()
        self.load = SmoothedLoad(SMOOTHING, DEVIATION_SMOOTHING, INITIAL_DEVIATION)
        self.controller = PIController(GAIN_P, GAIN_I)

    def _on_attempts_reported(self, report: AttemptsReported) -> None:
        self.add_report(report, min(report.window_us, MAX_WINDOW_US), SMOOTHING)
        if not self.state.is_ejected and is_failing(self.state.totals):
            self.loop.publish(messages.ReplicaFailing(report.replica, self.state.totals.failure_share))

    def _on_period_elapsed(self, _: messages.PeriodElapsed) -> None:
        if self.new_load:
            self.load.update(self.new_load)
            self.report_load(self.load)
        self.publish_state()
        totals = self.state.totals.scaled(ATTEMPT_DECAY ** min(1.0, self.state.period_us / SECOND))
        self.state = replace(self.state, totals=totals)

    def _on_adjust_weight(self, step: messages.AdjustWeight) -> None:
        weight = self.state.weight
        if self.state.slow_start >= 1.0 and not step.is_stale:  # Slow start sets the weight until then.
            error = step.error
            error *= 0.0 if abs(error) < DEAD_BAND else error**2 / (error**2 + self.load.deviation**2)
            weight += self.controller.step(error, self.state.period_us, MAX_STEP * weight)
        scaled = weight * step.scale
        weight = clamp(scaled, MIN_WEIGHT, MAX_WEIGHT)
        if weight != scaled:
            self.controller.reset()  # Prevents integral wind-up at the bounds.
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
            totals = messages.AttemptTotals(latency_sum_us=self.state.totals.latency_sum_us)
            self.state = replace(self.state, is_ejected=False, totals=totals)
            ramp_us = max(2 * self.state.period_us, self.config.safety.warmup_us // READMISSION_RAMP_DIVISOR)
            self.start_ramp(self.loop.now_us, ramp_us)  # Each readmission starts at a low weight.
            self.publish_state()


def relative_utilization(states: dict[int, messages.ReplicaState]) -> dict[int, float]:
    """Return the larger of each replica's busy share and requests in flight, both relative to the mean."""
    busy = {n: s.busy_share for n, s in states.items() if s.busy_share is not None}
    sizes = relative_to_mean({n: s.endpoint.size for n, s in states.items()})
    queued = {n: s.in_flight for n, s in states.items() if s.in_flight is not None}
    # 1 is added as random counts on an idle pool are no load; the root, as size may mean cores or speed.
    in_flight = {n: 1 + count / max(sizes[n], MIN_RELATIVE_SIZE) ** 0.5 for n, count in queued.items()}
    used = max_by_key(relative_to_mean(busy), relative_to_mean(in_flight))
    # Replicas that fail attempts or under-report look idle, so load is divided by the success share.
    return {n: load / max(MIN_SUCCESS_SHARE, states[n].totals.success_share) for n, load in used.items()}
