"""Settings: all errors are reported together, each with its file, line, path of nodes and remedy."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from gradehoist.cli.main import main
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.plan_builder import build_plan
from gradehoist.settings.fleet_parser import read_settings
from gradehoist.settings.reader import SettingsError

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "deploy" / "example.kdl"
VALID_SETTINGS = EXAMPLE.read_text()


def read_errors(tmp_path: Path, text: str | bytes) -> list[str]:
    """Returns the errors of a settings file with this text, without the name of the file."""
    path = tmp_path / "s.kdl"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    with pytest.raises(SettingsError) as caught:
        read_settings(path)
    assert all(line.startswith(str(path)) for line in caught.value.lines)
    return [line.removeprefix(str(path)) for line in caught.value.lines]


def test_the_example_is_valid() -> None:
    settings = read_settings(EXAMPLE)

    assert settings.governor("b").listen_address == ("127.0.0.1", 7102)
    assert settings.fleet.classes[1].latency_objective_us == 2_000_000
    with pytest.raises(KeyError):
        settings.governor("c")


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('goal="1s"', "goal=1", ':5: fleet > class "rate-check" > goal: expected a time such as'),
        ('goal="1s"', 'goal="9s"', ':5: fleet > class "rate-check" > goal: the latency goal lies beyond'),
        ("relays=15", "relays=0.5", ":2: fleet > relays: expected a whole number"),
        ("relays=15 ", "", ":2: fleet > relays: missing"),
        ("queue-limit=3500", "queue-limt=3500", ":8: fleet > channel > queue-limt: unknown property"),
        ("queue-limit=3500", "queue-limit=true", ":8: fleet > channel > queue-limit: expected a number"),
        ('zone="hall-b"', 'zone="hall-b" memory-mb=3', ':14: governor "b" > memory-mb: expected a whole'),
        ("message-head=4", "worst-transit=4", ":8: fleet > channel > worst-transit: expected a time"),
        ('zone="hall-b"', 'zone="hall-z"', ':14: governor "b" > zone: expected one of hall-a, hall-b'),
        ('"127.0.0.1:7102"', '"10.0.0.1:7102"', ':14: governor "b" > listen: an address beyond loopback'),
        ('"127.0.0.1:7102"', '"localhost"', ':14: governor "b" > listen: expected an address'),
        ('governor "b"', 'governor "a"', ':13: governor "a": a governor named twice'),
        (
            'class "booking-commit"',
            'class "rate-check"',
            ':5: fleet > class "rate-check": a class named twice',
        ),
        ('repeat="single"', 'repeat="once"', ':6: fleet > class "booking-commit" > repeat: expected one of'),
        ('    zones "hall-a" "hall-b"\n', "", ":2: fleet > zones: missing"),
        ('period="1s"', 'period="0s"', ":9: fleet > reports > period: expected a time of"),
        ('goal="1s"', 'goal="0s"', ':5: fleet > class "rate-check" > goal: expected a time of'),
        ('message-window="10s"', 'message-window="0s"', ":8: fleet > channel > message-window: expected a"),
        ('hold="2s"', 'hold="0s"', ":10: fleet > feed > hold: expected a time of"),
        ('cold-time="16s"', f'cold-time="{"9" * 400}h"', ":7: fleet > rules > cold-time: expected a time"),
        ("probes deadline", "prob deadline", ":11: fleet > prob: unknown node"),
        ('zones "hall-a" "hall-b"', 'zones "hall-a" 3', ":3: fleet > zones"),
    ],
)
def test_an_error_contains_its_position_and_remedy(tmp_path: Path, old: str, new: str, expected: str) -> None:
    assert old in VALID_SETTINGS

    errors = read_errors(tmp_path, VALID_SETTINGS.replace(old, new))

    assert any(line.startswith(expected) for line in errors), errors
    assert all("; " in line for line in errors)


def test_all_errors_are_reported_together(tmp_path: Path) -> None:
    text = VALID_SETTINGS.replace('goal="1s"', "goal=1").replace("line-rate=3500", "line-rate=-1")

    assert len(read_errors(tmp_path, text)) == 2


def test_a_syntax_error_is_reported_with_its_line_and_column(tmp_path: Path) -> None:
    (syntax,) = read_errors(tmp_path, VALID_SETTINGS.replace('zones "hall-a"', 'zones "hall-a'))

    assert re.match(r":\d+:\d+: not KDL 1", syntax)


def test_a_file_that_is_not_utf_8_is_reported(tmp_path: Path) -> None:
    assert read_errors(tmp_path, b"\xff\xfe")[0].startswith(": can't be read: not UTF-8")


def test_invalid_arguments_and_settings_give_exit_code_2_and_a_message(tmp_path: Path) -> None:
    invalid = tmp_path / "bad.kdl"
    invalid.write_text(VALID_SETTINGS.replace("relays=15", "relays=-1"))
    for arguments, message in (
        (["check", str(tmp_path / "none.kdl")], "can't be read"),
        (["check", str(invalid)], "fleet > relays"),
        (["governor", str(EXAMPLE), "--name", "z"], "no governor 'z'"),
        (["audit", str(tmp_path)], "no run is here"),
        (["day", str(invalid)], "scene"),
        (["scenario", str(invalid)], "scene"),
    ):
        result = CliRunner().invoke(main, arguments)
        assert result.exit_code == 2, result.output
        assert message in result.output, result.output
    assert CliRunner().invoke(main, ["check", str(EXAMPLE)]).exit_code == 0


SCENARIOS = [
    *sorted((ROOT / "scenarios").glob("*.kdl")),
    *sorted((ROOT / "scenarios/faults").glob("*.kdl")),
    *sorted((ROOT / "scenarios/cells").glob("*.kdl")),
]


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_a_seed_gives_the_same_plan_of_a_scenario_each_time(path: Path) -> None:
    scenario = read_scenario(path)

    plan, same_plan, other_plan = build_plan(scenario, 5), build_plan(scenario, 5), build_plan(scenario, 6)

    assert plan.steps
    assert plan.steps == same_plan.steps
    assert plan.requests_per_s == same_plan.requests_per_s
    assert [replica.speed for replica in plan.replicas] == [replica.speed for replica in same_plan.replicas]
    assert plan.steps != other_plan.steps or len(scenario.faults) < 2
