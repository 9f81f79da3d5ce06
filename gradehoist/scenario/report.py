"""What a run leaves for a person: charts, a table of the rules, one page that holds them all."""

from __future__ import annotations

import base64
import html
from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib

from gradehoist.protocol.proxy_state import ProxyState

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import msgspec

from gradehoist.protocol import feed
from gradehoist.scenario.checks.channel import QueuedMessage, replay_channel
from gradehoist.scenario.checks.records import (
    MessageApplied,
    Record,
    RequestCompleted,
    StepTaken,
    StreamBegan,
    find_begin_us,
    load_records,
)
from gradehoist.scenario.checks.verdict import Verdict
from gradehoist.scenario.runner import figures
from gradehoist.testbed.scenario_plan import Plan

WINDOW = 5.0  # seconds
ZONE_COLOURS = ("tab:blue", "tab:orange", "tab:green", "tab:red", "tab:purple", "tab:brown")


def answered_chart(plan: Plan, records: list[Record], t0: int, path: Path) -> None:
    """Share of transactions answered within their latency goal, by class and 5 s of their beginning."""
    good: dict[str, dict[int, list[int]]] = defaultdict(lambda: defaultdict(lambda: [0, 0]))
    goals = {c.name: c.goal for c in plan.classes}
    for r in records:
        event = r.event
        if isinstance(event, RequestCompleted):
            cell = good[event.request_class][int((event.began_us - t0) / 1e6 // WINDOW)]
            cell[1] += 1
            cell[0] += event.status == 200 and r.time_us - event.began_us <= goals[event.request_class]
    figure, axes = plt.subplots(figsize=(9, 3.2), layout="constrained")
    for name, cells in good.items():
        xs = sorted(cells)
        share = [100 * cells[x][0] / cells[x][1] for x in xs]
        axes.plot([x * WINDOW for x in xs], share, marker="o", label=name)
    _troubles(axes, records, t0)
    axes.set(ylim=(0, 103), xlabel="s into the day", ylabel="answered within goal, %")
    axes.legend(loc="lower left", fontsize=8)
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _troubles(axes: Any, records: list[Record], t0: int) -> None:
    for at in sorted({round(r.time_us - t0, -5) for r in records if isinstance(r.event, StepTaken)}):
        axes.axvline(at / 1e6, color="0.85", linewidth=0.8, zorder=0)


def weights_chart(plan: Plan, records: list[Record], t0: int, path: Path) -> None:
    """Each replica's mean share of a relay's lines for the first class, over all relays."""
    holds: dict[str, ProxyState] = defaultdict(ProxyState)
    zone = {r.name: r.zone for r in plan.replicas}
    points: list[tuple[float, dict[str, float]]] = []
    cls, last = plan.classes[0].name, -1.0
    for r in records:
        event = r.event
        if isinstance(event, StreamBegan):
            holds[event.proxy].begin_stream()
        if not isinstance(event, MessageApplied):
            continue
        holds[event.proxy].apply(event.message)
        at = (r.time_us - t0) / 1e6
        if at - last < 0.25:
            continue
        last = at
        mean: dict[str, float] = defaultdict(float)
        for held in holds.values():
            lines = held.weights_for(cls)
            total = sum(lines.values())
            for name, weight in lines.items():
                mean[name] += weight / total / len(holds)
        points.append((at, mean))
    figure, axes = plt.subplots(figsize=(9, 3.6), layout="constrained")
    for replica in plan.replicas:
        colour = ZONE_COLOURS[plan.zones.index(zone[replica.name]) % len(ZONE_COLOURS)]
        axes.plot(
            [at for at, _ in points],
            [100 * m.get(replica.name, 0.0) for _, m in points],
            color=colour,
            linewidth=1.1,
            alpha=0.8,
        )
    for n, name in enumerate(plan.zones):
        axes.plot([], [], color=ZONE_COLOURS[n % len(ZONE_COLOURS)], label=name)
    _troubles(axes, records, t0)
    axes.set(xlabel="s into the day", ylabel=f"share of the lines of {cls}, %", ylim=(0, None))
    axes.legend(loc="upper left", fontsize=8)
    figure.savefig(path, dpi=110)
    plt.close(figure)


def channel_chart(plan: Plan, records: list[Record], t0: int, path: Path) -> None:
    """Lines waiting in each governor's channel, played again from the messages at the stated pace."""
    by_epoch: dict[tuple[str, str], dict[tuple[Any, ...], feed.Message]] = defaultdict(dict)
    for r in records:
        event = r.event
        if isinstance(event, MessageApplied):
            message = event.message
            by_epoch[event.governor, event.epoch].setdefault(
                (event.proxy, event.stream, message.seq), message
            )
    figure, axes = plt.subplots(figsize=(9, 2.8), layout="constrained")
    names = sorted({g for g, _ in by_epoch})
    for (governor, _), some in by_epoch.items():
        costs = [
            QueuedMessage(float(m.created_us), m.cost_lines)
            for m in sorted(some.values(), key=lambda m: m.reply_number)
        ]
        moves: list[tuple[float, float]] = []
        for queued, state in zip(costs, replay_channel(costs, plan.rules.line_rate), strict=True):
            moves += [(queued.created_us, queued.cost_lines), (state.sent_us, -queued.cost_lines)]
        xs, ys, waiting = [], [], 0.0
        for at, change in sorted(moves):
            waiting += change
            xs.append((at - t0) / 1e6)
            ys.append(max(0.0, waiting))
        axes.step(xs, ys, where="post", linewidth=0.9, color=ZONE_COLOURS[names.index(governor) % 6])
    for n, name in enumerate(names):
        axes.plot([], [], color=ZONE_COLOURS[n % 6], label=f"governor {name}")
    axes.axhline(plan.rules.queue_limit, color="black", linestyle="--", linewidth=0.8, label="limit")
    _troubles(axes, records, t0)
    axes.set(xlabel="s into the day", ylabel="lines waiting", ylim=(0, plan.rules.queue_limit * 1.1))
    axes.legend(loc="upper right", fontsize=8)
    figure.savefig(path, dpi=110)
    plt.close(figure)


STYLE = """body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:62em;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.3em .8em;
border-bottom:1px solid #ddd;text-align:left}
.kept{color:#176317}.broken{color:#a01010;font-weight:bold}img{max-width:100%}code{background:#f3f3f3}"""


def write(folder: Path, plan: Plan, verdict: Verdict) -> Path:
    """Charts, `verdict.json` and `report.html` into the run folder; the page's path."""
    records = load_records(folder)
    t0 = find_begin_us(records, default=0)
    charts = (
        ("answered.png", answered_chart, "Answered within the latency goal, by class and 5 s"),
        ("weights.png", weights_chart, "Weights by replica, coloured by zone"),
        ("channel.png", channel_chart, "The channels' queues"),
    )
    pictures = ""
    for name, draw, title in charts:
        draw(plan, records, t0, folder / name)
        data = base64.b64encode((folder / name).read_bytes()).decode()
        pictures += f'<h2>{title}</h2><img alt="{title}" src="data:image/png;base64,{data}">'
    rows = "".join(
        f"<tr><td>{html.escape(r.title)}</td><td class='{r.state.replace(' ', '-')}'>{r.state}</td>"
        f"<td>{100 * r.limit_used:.0f}%</td><td>{r.occasions}</td><td>{html.escape(r.reason)}</td></tr>"
        for r in verdict.results
    )
    breaks = "".join(
        f"<li>{b.at_s:.2f} s, {html.escape(b.proxy)} {html.escape(b.replica)}: "
        f"{html.escape(b.description)}</li>"
        for r in verdict.results
        for b in r.violations
    )
    counts = "".join(
        f"<tr><td>{k.replace('_', ' ')}</td><td>{v}</td></tr>" for k, v in figures(plan, records).items()
    )
    shares = "".join(
        f"<tr><td>{html.escape(k)}</td><td>{100 * v:.1f}%</td></tr>"
        for k, v in verdict.completed_share_by_class.items()
    )
    steps = "".join(
        f"<tr><td>{(r.time_us - t0) / 1e6:.1f}</td><td>{html.escape(r.event.target)}</td>"
        f"<td><code>{html.escape(msgspec.json.encode(r.event.order).decode())[:160]}</code></td></tr>"
        for r in records
        if isinstance(r.event, StepTaken)
    )
    completed = f"{100 * verdict.completed_share:.1f}%"
    page = f"""<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(plan.name)}</title>
<style>{STYLE}</style><h1>{html.escape(plan.name)}, seed {plan.seed}</h1>
<p>{plan.length / 1e6:g} s, {len(plan.governors)} governors, {len(plan.replicas)} replicas, {len(plan.relays)}
relays; {verdict.requests} transactions, {completed} of the gain answered within goal.
{"" if verdict.is_complete else "<b>The records are not whole: " + html.escape(verdict.reason) + "</b>"}</p>
<table><tr><th>rule</th><th>state</th><th>of its limit used</th><th>occasions</th><th></th></tr>{rows}</table>
{"<h2>Breaks</h2><ul>" + breaks + "</ul>" if breaks else ""}
<table><tr><th>class</th><th>gain answered</th></tr>{shares}</table>{pictures}
<h2>Counts</h2><table>{counts}</table>
<h2>What was done to it</h2><table><tr><th>s</th><th>to</th><th>order</th></tr>{steps}</table></html>"""
    (folder / "verdict.json").write_bytes(msgspec.json.format(msgspec.json.encode(verdict), indent=1))
    (folder / "report.html").write_text(page, encoding="utf-8")
    return folder / "report.html"
