"""Formats the settings file of a run's governors."""

from __future__ import annotations

import msgspec
from kdl.parsing import Parser
from kdl.types import Node

from gradehoist.scenario.definition import Scenario
from gradehoist.testbed.scenario_plan import Plan

PLACEMENT_FILE = "cells.json"  # It lies beside the settings file.


def format_settings(scenario: Scenario, plan: Plan) -> str:
    """Returns the scenario's fleet and governors with the addresses of this run, as KDL."""
    document = Parser().parse(scenario.fleet_text)
    fleet = document.nodes[0]
    list_host, list_port = plan.endpoint_list
    fleet.props["roster"] = f"{list_host}:{list_port}"
    if plan.cells:
        cells = Node("cells", props={"placement": PLACEMENT_FILE})
        if plan.limits:
            cells.nodes.append(Node("limits", props=msgspec.to_builtins(plan.limits)))
        fleet.nodes.append(cells)
    parts = [document.print()]
    for settings, (name, zone, (host, port)) in zip(scenario.settings.governors, plan.governors, strict=True):
        seed = settings.seed + plan.seed
        parts.append(f'governor "{name}" zone="{zone}" listen="{host}:{port}" seed={seed}\n')
    return "\n".join(parts)
