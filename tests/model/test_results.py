"""Tests that the JSON keys of results do not change, so that earlier files stay readable."""

from __future__ import annotations

import msgspec

from larchhaven.model.results import ExperimentResult
from larchhaven.model.search import SearchReport
from larchhaven.model.summary import Interval, summarise

RESULT_LINE = (
    b'{"name":"death","detector":"membership","members":8,"seed":1,"seconds":45.0,'
    b'"loss_percent":10.0,"deaths":[{"number":3,"at":15.0,"detected":3.5,"agreed":4.25}],'
    b'"false_deaths":1,"false_by":[[20.5,2,7]],"accusations":4,'
    b'"equal":[{"after":"start","at":0.0,"seconds":1.5},'
    b'{"after":"fault ends","at":30.0,"seconds":null}],'
    b'"equal_at_end":false,"messages_a_second":8.062,"messages_most":8.5,'
    b'"bytes_a_second":371.5,"overflowed":0,"counts":{"refused replayed":2,"sent":5},'
    b'"events":1234,"trace":"00ff"}'
)


def test_result_keeps_its_json_keys() -> None:
    result = msgspec.json.decode(RESULT_LINE, type=ExperimentResult)
    assert msgspec.json.encode(result) == RESULT_LINE
    assert result.false_death_samples[0].declared_by == 7
    assert result.convergences[1].cause == "fault ends"
    assert not result.holds


def test_summary_keeps_its_json_keys() -> None:
    result = msgspec.json.decode(RESULT_LINE, type=ExperimentResult)
    [cell] = summarise([result, result])
    assert list(msgspec.to_builtins(cell)) == [
        "detector",
        "members",
        "loss_percent",
        "plays",
        "hours",
        "deaths",
        "agreed_share",
        "detected",
        "agreed",
        "agreed_most",
        "false_deaths",
        "false_an_hour",
        "healed",
        "healed_most",
        "not_healed",
        "messages",
        "bytes",
    ]
    assert cell.agreement_s == Interval(4.25, 4.25, 4.25)
    assert (cell.runs, cell.agreed_fraction, cell.unconverged) == (2, 1.0, 2)


def test_search_report_keeps_its_json_keys() -> None:
    assert list(msgspec.to_builtins(SearchReport("accused"))) == [
        "scene",
        "states",
        "steps",
        "wholes",
        "deepest",
        "cut_short",
        "broken",
        "path",
    ]
