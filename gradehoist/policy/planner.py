"""Entry point of the policy: passes events to its actors, runs them, and returns the orders that result."""

from gradehoist.actors import MessageLoop
from gradehoist.fleet_state import Fleet, classes_by_limits
from gradehoist.interface import Event, Order, PolicyConfig
from gradehoist.policy.admission import AdmissionController
from gradehoist.policy.locality import LocalityBalancer
from gradehoist.policy.pool import Pool
from gradehoist.policy.publisher import Publisher
from gradehoist.policy.subsetting import group_zones
from gradehoist.policy.tables import ProxyGroup
from gradehoist.policy.warmup import RATE_SMOOTHING, WarmupAdmission


class Planner:
    """One instance of the policy; its parts are public for explanations, traces and tests."""

    def __init__(self, config: PolicyConfig, now_us: int) -> None:
        """Create an instance that knows no replicas and no proxies."""
        self.loop = MessageLoop(config.seed, now_us)
        # A deployment with key ranges gets no orders yet.
        self.has_key_ranges = config.key_range_count > 0
        # The classes with the strictest placement limits come first, so that the zone weights give them
        # capacity before the others.
        sets_by_limits = classes_by_limits(config.classes)
        strictest_first = sorted(
            sets_by_limits,
            key=lambda limits: (not limits.zone_local, not limits.allowed_zones, not limits.allowed_kinds),
        )
        class_sets = [sets_by_limits[limits] for limits in strictest_first]
        groups = [
            ProxyGroup(self.loop, index, zone, class_sets) for index, zone in enumerate(group_zones(config))
        ]
        self.fleet = Fleet(self.loop, config, groups, class_sets, RATE_SMOOTHING)
        locality = LocalityBalancer(self.fleet.replicas)
        self.warmup = WarmupAdmission(self.fleet, locality)
        self.pool = Pool(self.fleet, locality, self.warmup)
        self.admission = AdmissionController(self.fleet)
        self.publisher = Publisher(self.fleet, groups, self.warmup)
        self.fleet.subscribe()

    def handle(self, now_us: int, events: list[Event]) -> list[Order]:
        """Process a batch of events; return the orders that follow from it."""
        self.loop.now_us = now_us
        for event in [] if self.has_key_ranges else events:
            self.fleet.deliver(event)
        self.loop.run()
        self.publisher.write_pending()
        self.loop.run()
        return self.fleet.flow.take_orders()
