"""Writes the report of a run: its charts, its verdict as JSON, and an HTML page that contains both."""

from __future__ import annotations

import base64
import html
from pathlib import Path

import msgspec

from gradehoist.scenario.charts import CHARTS
from gradehoist.scenario.checks.records import Record, StepExecuted, find_begin_us, load_records
from gradehoist.scenario.checks.verdict import Verdict
from gradehoist.scenario.counts import RunCounts, count_events
from gradehoist.testbed.scenario_plan import Plan

COMMAND_LENGTH = 160  # The number of characters of a command that the page shows.
STYLE = """body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:62em;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.3em .8em;
border-bottom:1px solid #ddd;text-align:left}
.kept{color:#176317}.broken{color:#a01010;font-weight:bold}img{max-width:100%}code{background:#f3f3f3}"""


def write_report(folder: Path, plan: Plan, verdict: Verdict) -> Path:
    """Writes the charts, `verdict.json` and `report.html` to the run folder; returns the path of the page."""
    records = load_records(folder)
    begin_us = find_begin_us(records, default=0)
    for chart in CHARTS:
        chart.draw(plan, records, begin_us, folder / chart.file_name)
    verdict_json = msgspec.json.format(msgspec.json.encode(verdict), indent=1)
    (folder / "verdict.json").write_bytes(verdict_json)
    page_path = folder / "report.html"
    page_path.write_text(_format_page(folder, plan, verdict, records, begin_us), encoding="utf-8")
    return page_path


def _format_page(folder: Path, plan: Plan, verdict: Verdict, records: list[Record], begin_us: int) -> str:
    violations = _format_violations(verdict)
    violations_part = f"<h2>Violations</h2><ul>{violations}</ul>" if violations else ""
    return f"""<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(plan.name)}</title>
<style>{STYLE}</style><h1>{html.escape(plan.name)}, seed {plan.seed}</h1>
{_format_summary(plan, verdict)}
<table><tr><th>rule</th><th>state</th><th>limit used</th><th>occasions</th><th></th></tr>\
{_format_results(verdict)}</table>
{violations_part}
<table><tr><th>class</th><th>priority weight completed</th></tr>\
{_format_shares(verdict)}</table>{_format_charts(folder)}
<h2>Counts</h2><table>{_format_counts(count_events(records))}</table>
<h2>Steps</h2><table><tr><th>time, s</th><th>target</th><th>command</th></tr>\
{_format_steps(records, begin_us)}</table></html>"""


def _format_summary(plan: Plan, verdict: Verdict) -> str:
    warning = ""
    if not verdict.is_complete:
        warning = f"<b>The records are incomplete: {html.escape(verdict.reason)}</b>"
    share = f"{100 * verdict.completed_share:.1f}%"
    return f"""<p>{plan.length_us / 1e6:g} s, {len(plan.governors)} governors, \
{len(plan.replicas)} replicas, {len(plan.proxies)}
proxies; {verdict.requests} transactions, {share} of the priority weight completed (late ones count in part).
{warning}</p>"""


def _format_results(verdict: Verdict) -> str:
    rows = []
    for result in verdict.results:
        style = result.state.replace(" ", "-")
        row = (
            f"<tr><td>{html.escape(result.title)}</td><td class='{style}'>{result.state}</td>"
            f"<td>{100 * result.limit_used:.0f}%</td><td>{result.occasions}</td>"
            f"<td>{html.escape(result.reason)}</td></tr>"
        )
        rows.append(row)
    return "".join(rows)


def _format_violations(verdict: Verdict) -> str:
    return "".join(
        f"<li>{violation.at_s:.2f} s, {html.escape(violation.proxy)} {html.escape(violation.replica)}: "
        f"{html.escape(violation.description)}</li>"
        for result in verdict.results
        for violation in result.violations
    )


def _format_shares(verdict: Verdict) -> str:
    return "".join(
        f"<tr><td>{html.escape(name)}</td><td>{100 * share:.1f}%</td></tr>"
        for name, share in verdict.completed_share_by_class.items()
    )


def _format_charts(folder: Path) -> str:
    parts = []
    for chart in CHARTS:
        data = base64.b64encode((folder / chart.file_name).read_bytes()).decode()
        image = f'<img alt="{chart.title}" src="data:image/png;base64,{data}">'
        parts.append(f"<h2>{chart.title}</h2>{image}")
    return "".join(parts)


def _format_counts(counts: RunCounts) -> str:
    rows = {
        "transactions": counts.requests,
        "tries": counts.attempts,
        "messages": counts.messages,
        "feed bytes": counts.feed_bytes,
        "refused": counts.rejected,
        "lost streams": counts.lost_streams,
    }
    return "".join(f"<tr><td>{label}</td><td>{count}</td></tr>" for label, count in rows.items())


def _format_steps(records: list[Record], begin_us: int) -> str:
    rows = []
    for record in records:
        if isinstance(record.event, StepExecuted):
            command = html.escape(msgspec.json.encode(record.event.command).decode())[:COMMAND_LENGTH]
            row = (
                f"<tr><td>{(record.time_us - begin_us) / 1e6:.1f}</td>"
                f"<td>{html.escape(record.event.target)}</td><td><code>{command}</code></td></tr>"
            )
            rows.append(row)
    return "".join(rows)
