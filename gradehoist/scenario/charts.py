"""Draws the charts of a run from its records."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
from matplotlib.axes import Axes

from gradehoist.protocol.feed import Message
from gradehoist.protocol.proxy_state import ProxyState
from gradehoist.scenario.checks.channel import QueuedMessage, replay_channel
from gradehoist.scenario.checks.completion import OK_STATUS
from gradehoist.scenario.checks.records import (
    MessageApplied,
    Record,
    RequestCompleted,
    StepExecuted,
    StreamBegan,
)
from gradehoist.testbed.scenario_plan import Plan

WINDOW_S = 5.0  # Requests are grouped by the window in which they began.
WEIGHTS_INTERVAL_S = 0.25  # The minimum time between two points of the chart of weights.
DOTS_PER_INCH = 110
COLOURS = ("tab:blue", "tab:orange", "tab:green", "tab:red", "tab:purple", "tab:brown")
TIME_LABEL = "time since the start, s"


@dataclass
class WindowCounts:
    """The number of requests that began in a window, and how many met their latency objective."""

    in_time: int = 0
    total: int = 0


@dataclass(frozen=True)
class MeanWeights:
    """The share of each replica in the weights of a proxy, averaged over all proxies, at one time."""

    at_s: float
    share_by_replica: dict[str, float]


@dataclass(frozen=True, order=True)
class QueueChange:
    """The change of a queue's length at one time: positive for queued lines, negative for sent ones."""

    at_us: float
    lines: float


def draw_completed(plan: Plan, records: list[Record], begin_us: int, path: Path) -> None:
    """Draws the share of requests completed within their latency objective, by class and window."""
    figure, axes = plt.subplots(figsize=(9, 3.2), layout="constrained")
    for name, windows in _count_completed(plan, records, begin_us).items():
        numbers = sorted(windows)
        shares = [100 * windows[number].in_time / windows[number].total for number in numbers]
        axes.plot([number * WINDOW_S for number in numbers], shares, marker="o", label=name)
    _mark_steps(axes, records, begin_us)
    axes.set(ylim=(0, 103), xlabel=TIME_LABEL, ylabel="completed within objective, %")
    axes.legend(loc="lower left", fontsize=8)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)


def _count_completed(plan: Plan, records: list[Record], begin_us: int) -> dict[str, dict[int, WindowCounts]]:
    """Returns the counts by class and by the number of the window."""
    objectives_us = {request_class.name: request_class.latency_objective_us for request_class in plan.classes}
    counts: dict[str, dict[int, WindowCounts]] = defaultdict(lambda: defaultdict(WindowCounts))
    for record in records:
        event = record.event
        if not isinstance(event, RequestCompleted):
            continue
        window = int((event.began_us - begin_us) / 1e6 // WINDOW_S)
        window_counts = counts[event.request_class][window]
        window_counts.total += 1
        elapsed_us = record.time_us - event.began_us
        if event.status == OK_STATUS and elapsed_us <= objectives_us[event.request_class]:
            window_counts.in_time += 1
    return counts


def draw_weights(plan: Plan, records: list[Record], begin_us: int, path: Path) -> None:
    """Draws the share of each replica in the weights for the first class, averaged over all proxies."""
    request_class = plan.classes[0].name
    points = _mean_weights(records, begin_us, request_class)
    times_s = [point.at_s for point in points]
    figure, axes = plt.subplots(figsize=(9, 3.6), layout="constrained")
    for replica in plan.replicas:
        shares = [100 * point.share_by_replica.get(replica.name, 0.0) for point in points]
        colour = _colour(plan.zones.index(replica.zone))
        axes.plot(times_s, shares, color=colour, linewidth=1.1, alpha=0.8)
    for number, zone in enumerate(plan.zones):
        axes.plot([], [], color=_colour(number), label=zone)
    _mark_steps(axes, records, begin_us)
    axes.set(xlabel=TIME_LABEL, ylabel=f"share of the weights for {request_class}, %", ylim=(0, None))
    axes.legend(loc="upper left", fontsize=8)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)


def _mean_weights(records: list[Record], begin_us: int, request_class: str) -> list[MeanWeights]:
    states: dict[str, ProxyState] = defaultdict(ProxyState)
    points: list[MeanWeights] = []
    last_s = -1.0
    for record in records:
        event = record.event
        if isinstance(event, StreamBegan):
            states[event.proxy].begin_stream()
        if not isinstance(event, MessageApplied):
            continue
        states[event.proxy].apply(event.message)
        at_s = (record.time_us - begin_us) / 1e6
        if at_s - last_s >= WEIGHTS_INTERVAL_S:
            last_s = at_s
            points.append(MeanWeights(at_s, _mean_shares(states, request_class)))
    return points


def _mean_shares(states: dict[str, ProxyState], request_class: str) -> dict[str, float]:
    shares: dict[str, float] = defaultdict(float)
    for state in states.values():
        weights = state.weights_for(request_class)
        total = sum(weights.values())
        for replica, weight in weights.items():
            shares[replica] += weight / total / len(states)
    return shares


def draw_channels(plan: Plan, records: list[Record], begin_us: int, path: Path) -> None:
    """Draws the queue length of each governor's channel.

    It is reconstructed from the recorded messages, assuming that the channel sends at its stated rate.
    """
    by_epoch = _messages_by_epoch(records)
    governors = sorted({governor for governor, _ in by_epoch})
    figure, axes = plt.subplots(figsize=(9, 2.8), layout="constrained")
    for (governor, _), messages in by_epoch.items():
        times_s = []
        queue_lines = []
        waiting_lines = 0.0
        for change in _queue_changes(messages, plan.rules.lines_per_s):
            waiting_lines += change.lines
            times_s.append((change.at_us - begin_us) / 1e6)
            queue_lines.append(max(0.0, waiting_lines))
        colour = _colour(governors.index(governor))
        axes.step(times_s, queue_lines, where="post", linewidth=0.9, color=colour)
    for number, governor in enumerate(governors):
        axes.plot([], [], color=_colour(number), label=f"governor {governor}")
    limit = plan.rules.queue_limit_lines
    axes.axhline(limit, color="black", linestyle="--", linewidth=0.8, label="limit")
    _mark_steps(axes, records, begin_us)
    axes.set(xlabel=TIME_LABEL, ylabel="queued lines", ylim=(0, limit * 1.1))
    axes.legend(loc="upper right", fontsize=8)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)


def _messages_by_epoch(records: list[Record]) -> dict[tuple[str, str], list[Message]]:
    """Returns the distinct messages of each governor and epoch, in the order of their creation."""
    unique: dict[tuple[str, str], dict[tuple[str, int, int], Message]] = defaultdict(dict)
    for record in records:
        event = record.event
        if isinstance(event, MessageApplied):
            messages = unique[event.governor, event.epoch]
            messages.setdefault((event.proxy, event.stream, event.message.seq), event.message)
    return {
        epoch: sorted(messages.values(), key=lambda message: message.reply_number)
        for epoch, messages in unique.items()
    }


def _queue_changes(messages: list[Message], lines_per_s: float) -> list[QueueChange]:
    queued = [QueuedMessage(float(message.created_us), message.cost_lines) for message in messages]
    changes: list[QueueChange] = []
    for message, state in zip(queued, replay_channel(queued, lines_per_s), strict=True):
        changes.append(QueueChange(message.created_us, message.cost_lines))
        changes.append(QueueChange(state.sent_us, -message.cost_lines))
    return sorted(changes)


def _mark_steps(axes: Axes, records: list[Record], begin_us: int) -> None:
    """Draws a vertical line at each step; times are rounded to 0.1 s, so that close steps share a line."""
    times_us = {
        round(record.time_us - begin_us, -5) for record in records if isinstance(record.event, StepExecuted)
    }
    for at_us in sorted(times_us):
        axes.axvline(at_us / 1e6, color="0.85", linewidth=0.8, zorder=0)


def _colour(number: int) -> str:
    return COLOURS[number % len(COLOURS)]


@dataclass(frozen=True)
class Chart:
    """A chart of the report: its file name, its title, and the function that draws it."""

    file_name: str
    title: str
    draw: Callable[[Plan, list[Record], int, Path], None]


CHARTS = (
    Chart(
        "answered.png",
        "Requests completed within their latency objective, by class, in windows of 5 s",
        draw_completed,
    ),
    Chart("weights.png", "Share of the weights by replica, coloured by zone", draw_weights),
    Chart("channel.png", "Queued lines in the governors' channels", draw_channels),
)
