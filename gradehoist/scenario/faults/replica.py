"""Faults of replicas and of their machines."""

from __future__ import annotations

from gradehoist.scenario.faults.fault import Variant
from gradehoist.scenario.faults.steps import BLACKHOLE, CLIENTS_ROLE, REFUSE_CONNECTIONS, FaultSteps

SECOND_US = 1_000_000
RAMP_STEPS = 4  # The number of steps in which the traffic falls.
AGEING_STEPS = 8  # The number of steps in which replicas become slower.
NEIGHBOUR_PERIOD_FACTORS = (0.5, 1.5)  # Factors on the period, so that it is irregular.


def crash(steps: FaultSteps) -> None:
    """Stops replicas, and starts them again at the end of the fault."""
    replicas = steps.choose_replicas()
    steps.kill_replicas(steps.fault.at_us, replicas)
    steps.restart_replicas(steps.fault.end_us, replicas)


def fail_silently(steps: FaultSteps) -> None:
    """Makes replicas unresponsive; the endpoint list notices only faults longer than its delay."""
    replicas = steps.choose_replicas()
    if steps.fault.duration_us > steps.delays.silent_us:
        steps.blackhole_replicas(steps.fault.at_us, replicas)
    else:
        steps.stop_replicas(steps.fault.at_us, replicas, BLACKHOLE)
    steps.restart_replicas(steps.fault.end_us, replicas)


def slow_down(steps: FaultSteps) -> None:
    """Divides the speed of replicas by the magnitude."""
    replicas = steps.choose_replicas()
    steps.add_replica_commands(steps.fault.at_us, "slow", replicas, steps.fault.magnitude)
    steps.add_replica_commands(steps.fault.end_us, "slow", replicas, 1.0)


def hang(steps: FaultSteps) -> None:
    """Makes replicas accept attempts without processing them."""
    replicas = steps.choose_replicas()
    steps.add_replica_commands(steps.fault.at_us, "hang", replicas, True)
    steps.add_replica_commands(steps.fault.end_us, "hang", replicas, False)


def add_noisy_neighbour(steps: FaultSteps) -> None:
    """Takes a share of the machines' capacity in bursts; bursts and pauses last about `extra_us`."""
    replicas = steps.choose_replicas()
    at_us = steps.fault.at_us
    is_busy = True
    while at_us < steps.fault.end_us:
        steps.add_replica_commands(at_us, "taken", replicas, steps.fault.magnitude if is_busy else 0.0)
        at_us += int(steps.fault.extra_us * steps.random.uniform(*NEIGHBOUR_PERIOD_FACTORS))
        is_busy = not is_busy
    steps.add_replica_commands(steps.fault.end_us, "taken", replicas, 0.0)


def shrink_fleet(steps: FaultSteps) -> None:
    """Reduces the traffic to 1 / magnitude, and drains and stops replicas one by one."""
    fault = steps.fault
    replicas = steps.choose_replicas()
    final_factor = 1 / max(1.0, fault.magnitude)
    for number in range(RAMP_STEPS + 1):
        at_us = fault.at_us + number * fault.duration_us // RAMP_STEPS
        factor = 1 + (final_factor - 1) * number / RAMP_STEPS
        steps.add_command(at_us, CLIENTS_ROLE, "whole", value=factor)
    for number, replica in enumerate(replicas, 1):
        steps.drain_replicas(fault.at_us + number * fault.duration_us // len(replicas), [replica])


def drain(steps: FaultSteps) -> None:
    """Drains replicas, stops them after `extra_us`, and starts them at the end of the fault."""
    fault, delays = steps.fault, steps.delays
    replicas = steps.choose_replicas()
    steps.drain_replicas(fault.at_us, replicas)
    # They can't start before the endpoint list has shown them as gone.
    min_duration_us = fault.extra_us + 2 * delays.added_us + delays.ended_us + SECOND_US
    steps.restart_replicas(fault.at_us + max(fault.duration_us, min_duration_us), replicas)


def preempt(steps: FaultSteps) -> None:
    """Drains and stops replicas for good, and starts as many spare ones at the end of the fault."""
    replicas = steps.choose_replicas()
    steps.drain_replicas(steps.fault.at_us, replicas)
    spare = [replica.name for replica in steps.plan.replicas if not replica.is_listed][: len(replicas)]
    if spare:
        steps.restart_replicas(steps.fault.end_us, spare)


def report_false_load(steps: FaultSteps) -> None:
    """Slows replicas down and has them report only a share of their load, `extra_us` / 1 s."""
    fault = steps.fault
    replicas = steps.choose_replicas()
    steps.add_replica_commands(fault.at_us, "slow", replicas, fault.magnitude)
    steps.add_replica_commands(fault.at_us, "shown", replicas, fault.extra_us / SECOND_US)
    steps.add_replica_commands(fault.end_us, "slow", replicas, 1.0)
    steps.add_replica_commands(fault.end_us, "shown", replicas, 1.0)


def restart_many(steps: FaultSteps) -> None:
    """Restarts replicas together; in the variant `unlisted` the endpoint list never shows them as gone."""
    replicas = steps.choose_replicas()
    if steps.fault.variant is Variant.UNLISTED:
        steps.stop_replicas(steps.fault.at_us, replicas, REFUSE_CONNECTIONS)
    else:
        steps.kill_replicas(steps.fault.at_us, replicas)
    steps.restart_replicas(steps.fault.end_us, replicas)


def degrade_until_crash(steps: FaultSteps) -> None:
    """Slows replicas down step by step, up to the magnitude, then stops them for `extra_us`."""
    fault = steps.fault
    replicas = steps.choose_replicas()
    for number in range(1, AGEING_STEPS + 1):
        at_us = fault.at_us + number * fault.duration_us // AGEING_STEPS
        slowdown = 1 + (fault.magnitude - 1) * number / AGEING_STEPS
        steps.add_replica_commands(at_us, "slow", replicas, slowdown)
    steps.kill_replicas(fault.end_us, replicas)
    steps.restart_replicas(fault.end_us + fault.extra_us, replicas)
