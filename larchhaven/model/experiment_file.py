"""Parses experiments in protobuf text format and checks rules that the schema cannot express."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from google.protobuf import text_format

from larchhaven.model.errors import ProcessNumbersError
from larchhaven.model.experiment_pb2 import Experiment, Fault
from larchhaven.model.process_selection import parse_numbers


@dataclass(frozen=True, slots=True)
class ParsedExperiment:
    """A parsed experiment and its errors.

    Attributes:
        experiment: The fields that could be parsed.
        complaints: Error messages, each with its location. The experiment is usable only if this
            list is empty.
    """

    experiment: Experiment
    complaints: list[str]


def parse_experiment(text: str) -> ParsedExperiment:
    """Parse an experiment and check it.

    Args:
        text: An ``Experiment`` message in protobuf text format.
    """
    # Imported here because it loads the schema of the operators' file, which the simulation
    # itself does not need.
    from larchhaven.operator.text_parser import parse_message

    parsed = parse_message(text, Experiment)
    experiment = parsed.message
    complaints = [f"{c.line}:{c.column}: {c.text}" for c in parsed.complaints]
    return ParsedExperiment(experiment, complaints or _check_faults(experiment))


def check_experiment(experiment: Experiment) -> list[str]:
    """Return the errors of an experiment that was built by a program instead of parsed."""
    from larchhaven.operator.text_parser import parse_message

    parsed = parse_message(text_format.MessageToString(experiment), Experiment)
    return [c.text for c in parsed.complaints] or _check_faults(experiment)


def _check_faults(experiment: Experiment) -> list[str]:
    members = max(experiment.members, 1)
    return [
        f"faults[{i}]: {text}"
        for i, fault in enumerate(experiment.faults)
        for text in _check_fault(fault, members)
    ]


def _check_fault(fault: Fault, members: int) -> Iterator[str]:
    kind = fault.WhichOneof("what")
    if kind is None:
        yield "say what happens: kill, pause, leave, slow_ms or cut"
    for who in (fault.who, fault.cut.to):
        try:
            parse_numbers(who.numbers, members)
        except ProcessNumbersError as error:
            yield error.reason
    if kind == "pause" and not fault.for_seconds:
        yield "pause requires for_seconds"
