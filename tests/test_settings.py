"""Settings: every error at once, each with file, line, path of nodes and remedy."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from gradehoist.cli.main import main
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.plan_builder import build_plan
from gradehoist.settings.fleet import read_settings
from gradehoist.settings.reader import SettingsError

ROOT = Path(__file__).parent.parent
GOOD = (ROOT / "deploy" / "example.kdl").read_text()


def errors(tmp_path: Path, text: str | bytes) -> list[str]:
    path = tmp_path / "s.kdl"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    with pytest.raises(SettingsError) as caught:
        read_settings(path)
    assert all(line.startswith(str(path)) for line in caught.value.lines)
    return [line.removeprefix(str(path)) for line in caught.value.lines]


def test_the_example_is_in_order() -> None:
    found = read_settings(ROOT / "deploy" / "example.kdl")
    assert (
        found.governor("b").listen_address == ("127.0.0.1", 7102)
        and found.fleet.classes[1].latency_objective_us == 2_000_000
    )
    with pytest.raises(KeyError):
        found.governor("c")


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('goal="1s"', "goal=1", ':5: fleet > class "rate-check" > goal: expected a time such as'),
        ('goal="1s"', 'goal="9s"', ':5: fleet > class "rate-check" > goal: the latency goal lies beyond'),
        ("relays=15", "relays=0.5", ":2: fleet > relays: expected a whole number"),
        ("relays=15 ", "", ":2: fleet > relays: missing"),
        ("queue-limit=3500", "queue-limt=3500", ":8: fleet > channel > queue-limt: unknown property"),
        ("queue-limit=3500", "queue-limit=true", ":8: fleet > channel > queue-limit: expected a number"),
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
def test_an_error_names_its_place_and_remedy(tmp_path: Path, old: str, new: str, expected: str) -> None:
    assert old in GOOD
    found = errors(tmp_path, GOOD.replace(old, new))
    assert any(line.startswith(expected) for line in found), found
    assert all("; " in line for line in found)


def test_all_errors_come_at_once_and_syntax_with_line_and_column(tmp_path: Path) -> None:
    text = GOOD.replace('goal="1s"', "goal=1").replace("line-rate=3500", "line-rate=-1")
    assert len(errors(tmp_path, text)) == 2
    (syntax,) = errors(tmp_path, GOOD.replace('zones "hall-a"', 'zones "hall-a'))
    assert syntax.startswith(":") and "not KDL 1" in syntax
    assert errors(tmp_path, b"\xff\xfe")[0].startswith(": can't be read: not UTF-8")


def test_bad_use_and_bad_settings_exit_2_with_one_clear_line(tmp_path: Path) -> None:
    bad = tmp_path / "bad.kdl"
    bad.write_text(GOOD.replace("relays=15", "relays=-1"))
    example = str(ROOT / "deploy" / "example.kdl")
    for arguments, part in (
        (["check", str(tmp_path / "none.kdl")], "can't be read"),
        (["check", str(bad)], "fleet > relays"),
        (["governor", example, "--name", "z"], "no governor 'z'"),
        (["audit", str(tmp_path)], "no run is here"),
        (["day", str(bad)], "scene"),
        (["scenario", str(bad)], "scene"),
    ):
        result = CliRunner().invoke(main, arguments)
        assert result.exit_code == 2 and part in result.output, result.output
    assert CliRunner().invoke(main, ["check", example]).exit_code == 0


SCENES = [
    *sorted((ROOT / "scenarios").glob("*.kdl")),
    *sorted((ROOT / "scenarios/faults").glob("*.kdl")),
    *sorted((ROOT / "scenarios/cells").glob("*.kdl")),
]


@pytest.mark.parametrize("path", SCENES, ids=lambda p: p.stem)
def test_every_scene_reads_and_draws_the_same_day_for_a_seed(path: Path) -> None:
    found = read_scenario(path)
    one, two = build_plan(found, 5), build_plan(found, 5)
    assert one.steps == two.steps and one.steps and one.rate == two.rate
    assert [r.speed for r in one.replicas] == [r.speed for r in two.replicas]
    assert one.steps != build_plan(found, 6).steps or len(found.faults) < 2
