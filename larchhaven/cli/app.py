"""The sub-commands with their options and help; the modules beside this one do their work."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from larchhaven.cli.exit_codes import ExitCode

app = typer.Typer(
    name="larchhaven",
    no_args_is_help=False,
    pretty_exceptions_enable=False,
    help="A load-balancing proxy for long-lived connections. Without a sub-command it serves."
    " Exit codes: 0 it holds, 1 it does not, 2 the input cannot be used.",
)
lab = typer.Typer(
    help="Play a scenario around real proxies on loopback sockets, and check the invariants."
)
app.add_typer(lab, name="lab")
model = typer.Typer(
    help="Play a fleet in simulated time: membership at sizes that sockets do not reach."
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
    """Run one proxy until SIGTERM; SIGHUP reloads its files.

    Example: larchhaven serve --config example/config.json --operator deploy/operator.textproto
    """
    environment = dict(os.environ)
    if config is not None:
        environment["EDGE_CONFIG"] = str(config)
    if operator is not None:
        environment["EDGE_OPERATOR"] = str(operator)
    sys.stdout.flush()
    # A new program, so that the proxy does not keep the command line's library in memory.
    os.execve(sys.executable, [sys.executable, "-m", "larchhaven"], environment)


@app.command()
def run(config: Config = None, operator: Operator = None) -> None:
    """Run one proxy, as serve does, under the name that the deploy file uses."""
    serve(config, operator)


@app.command()
def check(
    config: Config = None,
    operator: Operator = None,
    write: Annotated[
        Path | None,
        typer.Option(
            help="Write the operators' settings as JSON, which a proxy reads without protobuf."
        ),
    ] = None,
    json: Json = False,
) -> None:
    """Check the platform's file and the operators' file, and report all that is wrong at once.

    Each complaint has file, line and column, and says what to write instead. With both files the
    sum of the caps is checked against the memory that is granted.

    Example: larchhaven check --config example/config.json --operator deploy/operator.textproto
    """
    from larchhaven.cli import check as implementation

    raise typer.Exit(implementation.run(config, operator, write, json))


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
    from larchhaven.cli import memory as implementation

    if live is not None:
        raise typer.Exit(implementation.show_live(live, json))
    raise typer.Exit(implementation.show_plan(grant, sockets, start, operator, json))


@app.command()
def members(
    address: Annotated[str, typer.Argument(help="HOST:PORT of a running proxy's mgmt.")],
    watch: Annotated[bool, typer.Option(help="Show the view again whenever it changes.")] = False,
    json: Json = False,
) -> None:
    """Show the membership view of one proxy: state of each member, since when, suspected by whom.

    It holds if the view is synchronized, nobody is suspected or dead, and the proxy is not on the
    minority side of a partition.

    Example: larchhaven members 127.0.0.1:9100 --watch
    """
    from larchhaven.cli import members as implementation

    raise typer.Exit(implementation.show(address, watch, json))


class BuiltInScenario(StrEnum):
    """The small scenarios that come with the program."""

    HALLS = "halls"
    CHARTS = "charts"


@app.command("try")
def try_scenario(
    scenario: Annotated[
        BuiltInScenario,
        typer.Argument(help="halls: two classes. charts: two members with quotas."),
    ] = BuiltInScenario.HALLS,
    json: Json = False,
) -> None:
    """Play a small scenario around real proxies on loopback, and report what was served.

    Nothing has to be prepared. The halls have two proxies that are peers, and a server that
    drains. The charts have one proxy, two members of which one asks for more than its quota,
    long-lived connections and a server that crashes and comes back in slow start.

    Example: larchhaven try charts
    """
    from larchhaven.cli import lab as implementation

    raise typer.Exit(implementation.try_scenario(scenario.value, json))


@lab.command("play")
def lab_play(
    scenario: Annotated[
        Path, typer.Argument(help="A scenario, such as example/lab/morning.textproto.")
    ],
    operator: Operator = None,
    record: Annotated[
        Path | None, typer.Option(help="Write what the stand-ins observed, as JSON lines.")
    ] = None,
    seed: Annotated[int | None, typer.Option(help="Seed in place of the scenario's.")] = None,
    json: Json = False,
) -> None:
    """Play a scenario and check the invariants.

    The invariants: one final answer, drains, one execution at a time, no cold server overloaded,
    MOVE before a loss, and the size of datagrams.

    Example: larchhaven lab play example/lab/morning.textproto
    """
    from larchhaven.cli import lab as implementation

    raise typer.Exit(implementation.play_file(scenario, operator, record, seed, json))


@lab.command("check")
def lab_check(
    records: Annotated[Path, typer.Argument(help="Records that 'lab play --record' wrote.")],
    json: Json = False,
) -> None:
    """Check the invariants on records that were written before."""
    from larchhaven.cli import lab as implementation

    raise typer.Exit(implementation.check_file(records, json))


@app.command()
def soak(
    minutes: Annotated[float, typer.Option(help="How long the churn lasts.", min=0)] = 40.0,
    abuse: Annotated[
        list[str] | None,
        typer.Option(help="An abuse to play after the churn; may be given again; or 'all'."),
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
    """Play churn and abuses on the test bed, and judge whether memory stays flat and caps hold.

    The verdict: the slope of the resident and of the accounted size after warm-up with its 95%
    interval, under 1% an hour with 0 inside; no invariant violated; no cap passed.

    Example: larchhaven soak --minutes 5 --abuse never-read --abuse surge --abuse-minutes 1
    """
    from larchhaven.cli import soak as implementation

    raise typer.Exit(
        implementation.run(
            minutes, abuse or [], abuse_minutes, arrivals, memory_mb, sockets, seed, out, json
        )
    )


@model.command("run")
def model_run(
    experiment: Annotated[
        Path, typer.Argument(help="An experiment, such as example/model/death.textproto.")
    ],
    seed: Annotated[int | None, typer.Option(help="Seed in place of the experiment's.")] = None,
    json: Json = False,
) -> None:
    """Play one experiment.

    It holds if every death is agreed upon, nobody is wrongly declared dead, and all views converge.
    One seed replays to the last event in any process: the trace that is printed is a digest of all
    messages.

    Example: larchhaven model run example/model/death.textproto --seed 7
    """
    from larchhaven.cli import model as implementation

    raise typer.Exit(implementation.play_file(experiment, seed, json))


@model.command("sweep")
def model_sweep(
    experiment: Annotated[Path, typer.Argument(help="The experiment that is varied.")],
    members: Annotated[
        str, typer.Option(help="Sizes, such as 8,50,200; the experiment's if left out.")
    ] = "",
    loss: Annotated[str, typer.Option(help="Percentages of datagrams lost, such as 0,5,30.")] = "",
    detector: Annotated[
        list[str] | None, typer.Option(help="membership or heartbeats; may be given again.")
    ] = None,
    seeds: Annotated[
        int, typer.Option(help="Number of seeds, from the experiment's on.", min=1)
    ] = 8,
    jobs: Annotated[int, typer.Option(help="Processes at a time; 0: as many as cores.", min=0)] = 0,
    out: Annotated[Path, typer.Option(help="Folder for the results.")] = Path("found/model"),
    json: Json = False,
) -> None:
    """Play an experiment at several sizes and loss ratios over seeds, and show means and intervals.

    Example: larchhaven model sweep example/model/death.textproto --members 8,50 --loss 0,5
    """
    from larchhaven.cli import model as implementation

    raise typer.Exit(
        implementation.sweep(experiment, members, loss, detector or [], seeds, jobs, out, json)
    )


@model.command("plot")
def model_plot(
    results: Annotated[Path, typer.Argument(help="The folder that a sweep has written.")],
    out: Annotated[Path, typer.Option(help="The HTML file, plots inside.")] = Path(
        "found/model.html"
    ),
) -> None:
    """Plot the results of a sweep, as one HTML file.

    Example: larchhaven model plot found/model --out found/model.html
    """
    from larchhaven.cli import model as implementation

    raise typer.Exit(implementation.plot(results, out))


@model.command("search")
def model_search(
    scene: Annotated[
        list[str] | None, typer.Option(help="Initial scene; may be given again; all if left out.")
    ] = None,
    size: Annotated[int, typer.Option(help="Number of members.", min=3, max=5)] = 3,
    depth: Annotated[int, typer.Option(help="Maximum number of steps.", min=0)] = 5,
    states: Annotated[int, typer.Option(help="Maximum number of states of a scene.", min=1)] = 5000,
    json: Json = False,
) -> None:
    """Search every order, loss and duplication of messages among a few members, up to a depth.

    Example: larchhaven model search --scene accused --depth 7 --states 20000
    """
    from larchhaven.cli import model as implementation

    raise typer.Exit(implementation.search(scene or [], size, depth, states, json))


def main(arguments: Sequence[str]) -> int:
    """Run the sub-command that the arguments name.

    Args:
        arguments: The arguments without the name of the program.

    Returns:
        The exit code.
    """
    try:
        code = app(list(arguments), prog_name="larchhaven")
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else ExitCode.DOES_NOT_HOLD
    return code if isinstance(code, int) else ExitCode.HOLDS
