"""Generic parts of a control loop; the caller sets gains, smoothing factors and limits."""

from gradehoist.actors import SECOND
from gradehoist.interface import LoadReport
from gradehoist.numeric import clamp


class PIController:
    """A PI controller; its integral does not change while the output is clamped, to prevent wind-up."""

    def __init__(self, gain_p: float, gain_i: float) -> None:
        """Create a controller with the given gains per second."""
        self._gain_p = gain_p
        self._gain_i = gain_i
        self._integral = 0.0

    def step(self, error: float, elapsed_us: int, limit: float) -> float:
        """Return the control step for `error`, between `-limit` and `limit`."""
        output = (self._gain_p * error + self._gain_i * (self._integral + error)) * elapsed_us / SECOND
        step = clamp(output, -limit, limit)
        if step == output:
            self._integral += error
        return step

    def reset(self) -> None:
        """Set the integral to 0."""
        self._integral = 0.0


class SmoothedLoad:
    """The smoothed signals of a replica's load reports, and the deviation of readings from them."""

    def __init__(self, smoothing: float, deviation_smoothing: float, initial_deviation: float) -> None:
        """Create signals without readings; a smoothing factor is the weight of the newest reading."""
        self.busy_share: float | None = None
        self.in_flight: float | None = None
        self.deviation = initial_deviation  # mean relative deviation of readings from the signals
        self._smoothing = smoothing
        self._deviation_smoothing = deviation_smoothing

    def update(self, load: LoadReport) -> None:
        """Add a report; a signal that the report lacks becomes None."""
        self.busy_share = self._smooth(self.busy_share, load.busy_share)
        self.in_flight = self._smooth(self.in_flight, load.in_flight)

    def _smooth(self, old: float | None, new: float | None) -> float | None:
        if old and new is not None:
            self.deviation += self._deviation_smoothing * (min(1.0, abs(new - old) / old) - self.deviation)
        if old is None or new is None:
            return new
        return old + self._smoothing * (new - old)
