"""Control of one replica: smoothed load, weight, slow start, ejection and readmission."""

from dataclasses import replace

from gradehoist import messages
from gradehoist.actors import SECOND
from gradehoist.control_loop import PIController, SmoothedLoad
from gradehoist.fleet_state import ReplicaActor
from gradehoist.interface import AttemptsReported, HealthChecked, HealthCheckOutcome
from gradehoist.numeric import clamp, max_by_key, relative_to_mean
from gradehoist.policy.outlier import ejection_time_us, is_failing

# The bounds that the design sets for a normalized weight.
MIN_WEIGHT, MAX_WEIGHT = 0.05, 4.0

# The design's dead band: smaller errors of the load do not change the weight. Larger errors are damped by the
# deviation of the load readings, as weights followed the noise otherwise.
DEAD_BAND = 0.05

# Weight of the newest report in an exponential moving average over about five reports, which is 2 / (5 + 1).
SMOOTHING = 1 / 3

# Share of the attempt totals that is kept each report period, or each second if periods are shorter.
ATTEMPT_DECAY = 0.5

# Gains per second. The control loop has delays of up to 8 s, and the gain times the delay may be a half at
# most: 0.06 / s * 8 s is 0.48.
GAIN_P, GAIN_I = 0.06, 0.005

# After a readmission, the slow start takes the warm-up time divided by this, as an ejected replica is usually
# warm and can ramp up sooner.
READMISSION_RAMP_DIVISOR = 4

# The design's limit of a step of the control loop, relative to the weight.
MAX_STEP = 0.25

# The deviation of load readings is smoothed slowly, so that a real change of the load is not taken for noise.
INITIAL_DEVIATION, DEVIATION_SMOOTHING = 0.5, 0.1

# A longer window of a load report stems from a pause of the governor itself, and counts as this long. A
# window of one hour stopped the control loop for minutes.
MAX_WINDOW_US = 60 * SECOND

# Lowest size relative to the mean size. It keeps the load of a replica that is listed without a size finite.
MIN_RELATIVE_SIZE = 0.01

# Lowest success share that a replica's load is divided by: failed attempts raise the load tenfold at most.
MIN_SUCCESS_SHARE = 0.1


class ReplicaController(ReplicaActor):
    """Controls one replica, and sends each change of its state to the pool."""

    # The design's share of the weight at which slow start begins: a new replica gets a tenth of the average.
    SLOW_START = 0.1

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
        # During slow start, the control loop does not change the weight.
        if self.state.slow_start >= 1.0 and not step.is_stale:
            error = step.error
            error *= 0.0 if abs(error) < DEAD_BAND else error**2 / (error**2 + self.load.deviation**2)
            weight += self.controller.step(error, self.state.period_us, MAX_STEP * weight)
        scaled = weight * step.scale
        weight = clamp(scaled, MIN_WEIGHT, MAX_WEIGHT)
        if weight != scaled:
            # Prevents integral wind-up at the bounds of the weight.
            self.controller.reset()
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
            # A replica that is ejected again and again starts at a low weight after each readmission.
            self.start_ramp(self.loop.now_us, ramp_us)
            self.publish_state()


def relative_utilization(states: dict[int, messages.ReplicaState]) -> dict[int, float]:
    """Return the utilization of each replica that has load readings, relative to that of the others.

    It is the larger of the busy share and the requests in flight, each as a multiple of the mean, divided by
    the success share: replicas that fail attempts, or report less load than they have, look idle otherwise.
    """
    busy = {replica: state.busy_share for replica, state in states.items() if state.busy_share is not None}
    sizes = relative_to_mean({replica: state.endpoint.size for replica, state in states.items()})
    queued = {replica: state.in_flight for replica, state in states.items() if state.in_flight is not None}
    # One request is added to each count, as the few requests that an idle pool happens to have in flight are
    # no load. Counts are divided by the square root of the size, as a size may mean cores or speed.
    in_flight = {
        replica: 1 + count / max(sizes[replica], MIN_RELATIVE_SIZE) ** 0.5
        for replica, count in queued.items()
    }
    used = max_by_key(relative_to_mean(busy), relative_to_mean(in_flight))
    return {
        replica: load / max(MIN_SUCCESS_SHARE, states[replica].totals.success_share)
        for replica, load in used.items()
    }
