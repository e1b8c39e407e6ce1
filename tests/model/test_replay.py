"""Tests of reproducible runs and of independent random streams."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from larchhaven.model.random_streams import RandomStreams
from tests.model.harness import run

ROOT = Path(__file__).parent.parent.parent

EXPERIMENT = """seed: 5 seconds: 15 members: 8 zones: 2
links { loss_percent: 10 burst_ms: 100 doubled_percent: 20 }
faults { at_seconds: 5 who { percent: 25 } kill: true }
pauses { percent: 30 most_seconds: 1 every_seconds: 3 }"""

RUN_AND_PRINT = (
    "import sys;"
    "from larchhaven.model.experiment import run_experiment;"
    "from larchhaven.model.experiment_file import parse_experiment;"
    "r = run_experiment(parse_experiment(sys.argv[1]).experiment);"
    "print(r.trace_digest, r.events)"
)


def test_seed_gives_the_same_run_in_every_process() -> None:
    result = run(EXPERIMENT)
    outputs = {f"{result.trace_digest} {result.events}"}
    for hash_seed in ("1", "2"):
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-c", RUN_AND_PRINT, EXPERIMENT]
        completed = subprocess.run(
            command, env=environment, capture_output=True, text=True, check=True
        )
        outputs.add(completed.stdout.strip())
    assert len(outputs) == 1
    other_seed = run(EXPERIMENT.replace("seed: 5", "seed: 6"))
    assert other_seed.trace_digest not in next(iter(outputs))


def test_streams_are_independent_and_reproducible() -> None:
    first, repeated, other_purpose = (
        RandomStreams(7).stream(purpose) for purpose in ("a", "a", "b")
    )
    drawn = [first.random() for _ in range(600)]
    assert drawn == [repeated.random() for _ in range(600)]
    assert (
        drawn[:5]
        != [other_purpose.random() for _ in range(5)]
        != [RandomStreams(8).stream("b").random() for _ in range(5)]
    )
    assert 0.4 < sum(drawn) / 600 < 0.6
    assert all(0 <= number < 1 for number in drawn)
