"""What the command line offers: options and help; the work is in the files beside this one."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

HOLDS, DOES_NOT, UNUSABLE = 0, 1, 2

app = typer.Typer(
    name="larchhaven",
    no_args_is_help=False,
    pretty_exceptions_enable=False,
    help="A load-balancing proxy for connections that stay open a long time. Without a sub-command it serves."
    " Exit codes: 0 it holds, 1 it does not, 2 the input cannot be used.",
)
lab = typer.Typer(
    help="Play a scripted day around real proxies on loopback sockets, and check the rules."
)
app.add_typer(lab, name="lab")
model = typer.Typer(
    help="Play the fleet in simulated time: membership at sizes that sockets do not reach."
)
app.add_typer(model, name="model")

Config = Annotated[
    Path | None,
    typer.Option(help="The platform's JSON file.", envvar="EDGE_CONFIG", show_envvar=True),
]
Operator = Annotated[
    Path | None,
    typer.Option(
        help="The operators' file, protobuf text.", envvar="EDGE_OPERATOR", show_envvar=True
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Write JSON for a program to read.")]


@app.command()
def serve(config: Config = None, operator: Operator = None) -> None:
    """Run one proxy until it is told to stop (SIGTERM); SIGHUP reads its files again.

    Example: larchhaven serve --config example/config.json --operator deploy/operator.textproto
    """
    environment = dict(os.environ)
    if config is not None:
        environment["EDGE_CONFIG"] = str(config)
    if operator is not None:
        environment["EDGE_OPERATOR"] = str(operator)
    sys.stdout.flush()
    # Anew, so that the proxy does not carry the command line's library for all its life.
    os.execve(sys.executable, [sys.executable, "-m", "larchhaven"], environment)


@app.command()
def run(config: Config = None, operator: Operator = None) -> None:
    """Do as serve does: the name that the deploy file uses."""
    serve(config, operator)


@app.command()
def check(
    config: Config = None,
    operator: Operator = None,
    write: Annotated[
        Path | None,
        typer.Option(
            help="Write the operators' settings as JSON, which a proxy reads without the library."
        ),
    ] = None,
    json: Json = False,
) -> None:
    """Check the platform's file and the operators' file, and tell all that is wrong at once.

    Each complaint has file, line and column, and says what to write instead. With both files the sum of the
    caps is checked against the memory that is granted.

    Example: larchhaven check --config example/config.json --operator deploy/operator.textproto
    """
    from larchhaven.cli import check as work

    raise typer.Exit(work.run(config, operator, write, json))


@app.command()
def memory(
    live: Annotated[
        str | None, typer.Option(help="HOST:PORT of a running proxy's mgmt: show its account.")
    ] = None,
    grant: Annotated[float, typer.Option(help="The memory granted, in MB.", min=8)] = 192.0,
    sockets: Annotated[int, typer.Option(help="The descriptors granted.", min=64)] = 1024,
    start: Annotated[
        float | None, typer.Option(help="The program's own size in MB; measured if left out.")
    ] = None,
    operator: Operator = None,
    json: Json = False,
) -> None:
    """Show the plan of memory caps for a grant, or the live account of a running proxy.

    Examples: larchhaven memory --grant 64 --sockets 512
              larchhaven memory --live 127.0.0.1:9100
    """
    from larchhaven.cli import memory as work

    if live is not None:
        raise typer.Exit(work.show_live(live, json))
    raise typer.Exit(work.show_plan(grant, sockets, start, operator, json))


@app.command()
def members(
    address: Annotated[str, typer.Argument(help="HOST:PORT of a running proxy's mgmt.")],
    watch: Annotated[bool, typer.Option(help="Show the view again whenever it changes.")] = False,
    json: Json = False,
) -> None:
    """Show which of the proxies are there, as one of them sees it: state, since when, accused by whom.

    It holds if the view is sure, nobody is accused or dead, and this is no minority of a cut.

    Example: larchhaven members 127.0.0.1:9100 --watch
    """
    from larchhaven.cli import members as work

    raise typer.Exit(work.show(address, watch, json))


class Day(StrEnum):
    """The small days that come with the program."""

    HALLS = "halls"
    CHARTS = "charts"


@app.command("try")
def try_day(
    day: Annotated[
        Day, typer.Argument(help="halls: two classes. charts: two members with quotas.")
    ] = Day.HALLS,
    json: Json = False,
) -> None:
    """Play a small day around real proxies on loopback, nothing to prepare, and say what was served.

    The halls have two proxies that talk, and a server that drains. The charts have one proxy, two members of
    which one asks for more than its quota, long lives and a server that crashes and comes back cold.

    Example: larchhaven try charts
    """
    from larchhaven.cli import lab as work

    raise typer.Exit(work.try_day(day.value, json))


@lab.command("play")
def lab_play(
    scenario: Annotated[
        Path, typer.Argument(help="A scenario, such as example/lab/morning.textproto.")
    ],
    operator: Operator = None,
    record: Annotated[
        Path | None, typer.Option(help="Write what the stand-ins saw, as JSON lines.")
    ] = None,
    seed: Annotated[int | None, typer.Option(help="Another seed than the scenario's.")] = None,
    json: Json = False,
) -> None:
    """Play a scenario and check the rules.

    The rules: one final answer, drains, one execution at a time, no cold server pushed over, and MOVE before
    a loss.

    Example: larchhaven lab play example/lab/morning.textproto
    """
    from larchhaven.cli import lab as work

    raise typer.Exit(work.play_file(scenario, operator, record, seed, json))


@lab.command("check")
def lab_check(
    records: Annotated[Path, typer.Argument(help="Records that 'lab play --record' wrote.")],
    json: Json = False,
) -> None:
    """Check the rules again on records that were written before."""
    from larchhaven.cli import lab as work

    raise typer.Exit(work.check_file(records, json))


@app.command()
def soak(
    minutes: Annotated[float, typer.Option(help="How long the churn lasts.", min=0)] = 40.0,
    abuse: Annotated[
        list[str] | None,
        typer.Option(help="An abuse to play after the churn, again and again; or 'all'."),
    ] = None,
    abuse_minutes: Annotated[float, typer.Option(help="How long each abuse lasts.", min=0.1)] = 3.0,
    arrivals: Annotated[float, typer.Option(help="New connections a second.", min=0.1)] = 54.0,
    memory_mb: Annotated[float, typer.Option(help="What the proxy is granted.", min=8)] = 32.0,
    sockets: Annotated[int, typer.Option(help="The descriptors granted.", min=64)] = 1024,
    seed: int = 1,
    out: Annotated[Path, typer.Option(help="Folder for samples, verdicts and the reports.")] = Path(
        "found/soak"
    ),
    json: Json = False,
) -> None:
    """Wear a proxy out in the lab and judge whether its memory stays flat and each cap holds.

    The verdict: the slope of the resident and of the accounted size after warm-up with its 95% interval,
    under 1% an hour with 0 inside; no rule broken; no cap passed.

    Example: larchhaven soak --minutes 5 --abuse never-read --abuse surge --abuse-minutes 1
    """
    from larchhaven.cli import soak as work

    raise typer.Exit(
        work.run(minutes, abuse or [], abuse_minutes, arrivals, memory_mb, sockets, seed, out, json)
    )


@model.command("run")
def model_run(
    experiment: Annotated[
        Path, typer.Argument(help="An experiment, such as example/model/death.textproto.")
    ],
    seed: Annotated[int | None, typer.Option(help="Another seed than the experiment's.")] = None,
    json: Json = False,
) -> None:
    """Play one experiment. It holds if every death is agreed upon, nobody is wrongly dead, views get equal.

    One seed replays to the last event in any process: the trace that is printed is a digest of all messages.

    Example: larchhaven model run example/model/death.textproto --seed 7
    """
    from larchhaven.cli import model as work

    raise typer.Exit(work.run_experiment_file(experiment, seed, json))


@model.command("sweep")
def model_sweep(
    experiment: Annotated[Path, typer.Argument(help="The experiment that is varied.")],
    members: Annotated[
        str, typer.Option(help="Sizes, such as 8,50,200; the experiment's if left out.")
    ] = "",
    loss: Annotated[str, typer.Option(help="Percents lost, such as 0,5,30.")] = "",
    detector: Annotated[
        list[str] | None, typer.Option(help="membership or heartbeats; may be given again.")
    ] = None,
    seeds: Annotated[int, typer.Option(help="So many seeds from the experiment's on.", min=1)] = 8,
    jobs: Annotated[int, typer.Option(help="Processes at a time; 0: as many as cores.", min=0)] = 0,
    out: Annotated[Path, typer.Option(help="Folder for the results.")] = Path("found/model"),
    json: Json = False,
) -> None:
    """Play an experiment at several sizes and losses over seeds, on all cores, and show means with intervals.

    Example: larchhaven model sweep example/model/death.textproto --members 8,50,200 --loss 0,5 --seeds 4
    """
    from larchhaven.cli import model as work

    raise typer.Exit(
        work.run_sweep(experiment, members, loss, detector or [], seeds, jobs, out, json)
    )


@model.command("plot")
def model_plot(
    results: Annotated[Path, typer.Argument(help="The folder that a sweep has written.")],
    out: Annotated[Path, typer.Option(help="The HTML file, plots inside.")] = Path(
        "found/model.html"
    ),
) -> None:
    """Draw what a sweep has shown, as one file.

    Example: larchhaven model plot found/model --out found/model.html
    """
    from larchhaven.cli import model as work

    raise typer.Exit(work.plot_sweep(results, out))


@model.command("search")
def model_search(
    scene: Annotated[
        list[str] | None, typer.Option(help="Where to begin; may be given again. All.")
    ] = None,
    size: Annotated[int, typer.Option(help="Members.", min=3, max=5)] = 3,
    depth: Annotated[int, typer.Option(help="Steps.", min=0)] = 5,
    states: Annotated[int, typer.Option(help="At most so many states a scene.", min=1)] = 5000,
    json: Json = False,
) -> None:
    """Try every order, loss and doubling of the messages among a few members, up to a depth.

    Example: larchhaven model search --scene accused --depth 7 --states 20000
    """
    from larchhaven.cli import model as work

    raise typer.Exit(work.run_search(scene or [], size, depth, states, json))


def main(arguments: Sequence[str]) -> int:
    """Run the sub-command that the arguments name; return the exit code."""
    try:
        code = app(list(arguments), prog_name="larchhaven")
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else DOES_NOT
    return code if isinstance(code, int) else HOLDS
