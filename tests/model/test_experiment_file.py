"""Errors in the text of an experiment are reported with their location."""

from __future__ import annotations

from larchhaven.model.experiment_file import parse_experiment


def complaints(text: str) -> list[str]:
    return parse_experiment(text).complaints


def test_value_out_of_range_is_reported() -> None:
    assert complaints("members: 0") == ["1:10: 'members' is 0: write 1 to 2000"]


def test_unknown_member_and_missing_kind_are_reported() -> None:
    assert complaints(
        'members: 4 faults { kill: true who { numbers: "2-9" } } faults { at_seconds: 1 }'
    ) == [
        "faults[0]: there is no member 9: the last is 3",
        "faults[1]: say what happens: kill, pause, leave, slow_ms or cut",
    ]


def test_malformed_numbers_and_pause_without_duration_are_reported() -> None:
    assert complaints('faults { pause: true who { numbers: "x" } }') == [
        "faults[0]: numbers must be a list like 0-9,12, not 'x'",
        "faults[0]: pause requires for_seconds",
    ]
