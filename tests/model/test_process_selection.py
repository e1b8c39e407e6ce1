"""Tests of the selection of processes that a fault affects."""

from __future__ import annotations

import pytest

from larchhaven.model.errors import ProcessNumbersError
from larchhaven.model.experiment_pb2 import Who
from larchhaven.model.process_selection import ProcessSelector, parse_numbers
from larchhaven.model.random_streams import RandomStreams

SELECTOR = ProcessSelector(members=10, zones=3)


def select(who: Who) -> list[int]:
    return SELECTOR.select(who, RandomStreams(1).stream("fault 0"))


def test_numbers_may_be_ranges() -> None:
    assert select(Who(numbers="7, 0-2,9")) == [7, 0, 1, 2, 9]


def test_zone_selects_numbers_modulo_the_zone_count() -> None:
    assert select(Who(zone=1)) == [1, 4, 7]


def test_percentage_selects_a_reproducible_random_sample() -> None:
    drawn = select(Who(percent=40))
    assert len(set(drawn)) == 4
    assert drawn == sorted(drawn) == select(Who(percent=40))


def test_empty_selection_means_all_processes() -> None:
    assert select(Who()) == list(range(10))


def test_range_without_end_is_its_first_number() -> None:
    assert parse_numbers("1-", 10) == [1]


@pytest.mark.parametrize(("text", "item"), [("0-3,x", "x"), ("2,8-10", "8-10"), ("-1", "-1")])
def test_error_names_the_invalid_item(text: str, item: str) -> None:
    with pytest.raises(ProcessNumbersError) as raised:
        parse_numbers(text, 10)
    assert raised.value.numbers == item
