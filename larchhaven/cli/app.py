"""Declares the sub-commands, their options and help; the other modules implement them."""

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
    help="A load-balancing proxy for long-lived connections. Without a sub-command it runs"
    " one proxy. Exit codes: 0 if the result holds, 1 if it does not, 2 if the input is unusable.",
)
lab = typer.Typer(
    help="Play scenarios against real proxies on loopback sockets, and check the invariants."
)
app.add_typer(lab, name="lab")
model = typer.Typer(
    help="Simulate the membership of a proxy fleet, at sizes that real sockets cannot reach."
)
app.add_typer(model, name="model")

Config = Annotated[
    Path | None,
    typer.Option(
        help="The platform's configuration file, JSON.", envvar="EDGE_CONFIG", show_envvar=True
    ),
]
Operator = Annotated[
    Path | None,
    typer.Option(
        help="The operators' file, protobuf text.", envvar="EDGE_OPERATOR", show_envvar=True
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


@app.command()
def serve(config: Config = None, operator: Operator = None) -> None:
    """Run one proxy until SIGTERM; SIGHUP reloads the configuration and the operators' file.

    Example: larchhaven serve --config example/config.json --operator deploy/operator.textproto
    """
    environment = dict(os.environ)
    if config is not None:
        environment["EDGE_CONFIG"] = str(config)
    if operator is not None:
        environment["EDGE_OPERATOR"] = str(operator)
    sys.stdout.flush()
    # Replaces this process, so that the proxy does not keep typer in memory.
    os.execve(sys.executable, [sys.executable, "-m", "larchhaven"], environment)


@app.command()
def run(config: Config = None, operator: Operator = None) -> None:
    """Run one proxy; an alias of serve that the deploy file uses."""
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
    """Check the platform's file and the operators' file, and report all errors at once.

    Each complaint names the file, the line and the column, and says what to write instead. If both
    files are given, the sum of the caps is also checked against the granted memory.

    Example: larchhaven check --config example/config.json --operator deploy/operator.textproto
    """
    from larchhaven.cli import check as implementation

    raise typer.Exit(implementation.run(config, operator, write, json))


@app.command()
def memory(
    live: Annotated[
        str | None,
        typer.Option(
            help="Management address, HOST:PORT, of a running proxy whose account is shown."
        ),
    ] = None,
    grant: Annotated[float, typer.Option(help="Granted memory in MB.", min=8)] = 192.0,
    sockets: Annotated[int, typer.Option(help="Granted descriptors.", min=64)] = 1024,
    start: Annotated[
        float | None,
        typer.Option(help="Resident size of the program itself, in MB; measured if omitted."),
    ] = None,
    operator: Operator = None,
    json: Json = False,
) -> None:
    """Show the memory plan for a grant, or the live memory account of a running proxy.

    Examples: larchhaven memory --grant 64 --sockets 512
              larchhaven memory --live 127.0.0.1:9100
    """
    from larchhaven.cli import memory as implementation

    if live is not None:
        raise typer.Exit(implementation.show_live(live, json))
    raise typer.Exit(implementation.show_plan(grant, sockets, start, operator, json))


@app.command()
def members(
    address: Annotated[
        str, typer.Argument(help="Management address, HOST:PORT, of a running proxy.")
    ],
    watch: Annotated[bool, typer.Option(help="Print the view again whenever it changes.")] = False,
    json: Json = False,
) -> None:
    """Show the membership view of one proxy: each member's state, its duration and the suspectors.

    The result holds if the view is synchronized, no member is suspected or dead, and the proxy is
    not on the minority side of a partition.

    Example: larchhaven members 127.0.0.1:9100 --watch
    """
    from larchhaven.cli import members as implementation

    raise typer.Exit(implementation.show(address, watch, json))


class BuiltInScenario(StrEnum):
    """The scenarios that are shipped with the program."""

    HALLS = "halls"
    CHARTS = "charts"


@app.command("try")
def try_scenario(
    scenario: Annotated[
        BuiltInScenario,
        typer.Argument(help="halls: two request classes. charts: two tenants with quotas."),
    ] = BuiltInScenario.HALLS,
    json: Json = False,
) -> None:
    """Play a small built-in scenario against real proxies on loopback, and report its outcome.

    No preparation is needed. The scenario halls has two proxies that are peers, and a server that
    drains. The scenario charts has one proxy, long-lived connections, two tenants of which one
    exceeds its quota, and a server that crashes and comes back in slow start.

    Example: larchhaven try charts
    """
    from larchhaven.cli import lab as implementation

    raise typer.Exit(implementation.try_scenario(scenario.value, json))


@lab.command("play")
def lab_play(
    scenario: Annotated[
        Path, typer.Argument(help="Scenario file, such as example/lab/morning.textproto.")
    ],
    operator: Operator = None,
    record: Annotated[
        Path | None, typer.Option(help="Write the observed events to this file, as JSON lines.")
    ] = None,
    seed: Annotated[int | None, typer.Option(help="Overrides the scenario's seed.")] = None,
    json: Json = False,
) -> None:
    """Play a scenario and check the invariants.

    The invariants: each request gets one final answer, draining servers get no new requests after
    the drain grace, a request executes on one server at a time, servers in slow start are not
    overloaded, clients get MOVE before the proxy closes an established connection, and datagrams
    stay within their maximum size.

    Example: larchhaven lab play example/lab/morning.textproto
    """
    from larchhaven.cli import lab as implementation

    raise typer.Exit(implementation.play_file(scenario, operator, record, seed, json))


@lab.command("check")
def lab_check(
    records: Annotated[Path, typer.Argument(help="Events written by 'lab play --record'.")],
    json: Json = False,
) -> None:
    """Check the invariants on recorded events."""
    from larchhaven.cli import lab as implementation

    raise typer.Exit(implementation.check_file(records, json))


@app.command()
def soak(
    minutes: Annotated[
        float, typer.Option(help="Duration of the churn in minutes; 0 for no churn.", min=0)
    ] = 40.0,
    abuse: Annotated[
        list[str] | None,
        typer.Option(help="Abuse to play after the churn, or 'all'; may be repeated."),
    ] = None,
    abuse_minutes: Annotated[
        float, typer.Option(help="Duration of each abuse in minutes.", min=0.1)
    ] = 3.0,
    arrivals: Annotated[float, typer.Option(help="New connections per second.", min=0.1)] = 54.0,
    memory_mb: Annotated[float, typer.Option(help="Granted memory in MB.", min=8)] = 32.0,
    sockets: Annotated[int, typer.Option(help="Granted descriptors.", min=64)] = 1024,
    seed: int = 1,
    out: Annotated[Path, typer.Option(help="Folder for samples, verdicts and the reports.")] = Path(
        "found/soak"
    ),
    json: Json = False,
) -> None:
    """Run churn and abuses on the test bed, and judge whether memory stays flat and within caps.

    The result holds if no invariant is violated, no cap is exceeded, and the resident and the
    accounted size are flat after warm-up: a slope under 1% per hour, with 0 in its 95% interval.

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
        Path, typer.Argument(help="Experiment file, such as example/model/death.textproto.")
    ],
    seed: Annotated[int | None, typer.Option(help="Overrides the experiment's seed.")] = None,
    json: Json = False,
) -> None:
    """Run one experiment.

    The result holds if all members agree on every death, no live member is declared dead, and all
    views converge. Runs with the same seed are identical in every process; the printed trace is a
    digest of all messages.

    Example: larchhaven model run example/model/death.textproto --seed 7
    """
    from larchhaven.cli import model as implementation

    raise typer.Exit(implementation.run_experiment_file(experiment, seed, json))


@model.command("sweep")
def model_sweep(
    experiment: Annotated[Path, typer.Argument(help="Experiment file to vary.")],
    members: Annotated[
        str, typer.Option(help="Fleet sizes, such as 8,50,200; the experiment's size if omitted.")
    ] = "",
    loss: Annotated[str, typer.Option(help="Datagram loss in percent, such as 0,5,30.")] = "",
    detector: Annotated[
        list[str] | None,
        typer.Option(help="Failure detector, membership or heartbeats; may be repeated."),
    ] = None,
    seeds: Annotated[
        int,
        typer.Option(
            help="Number of consecutive seeds, starting with the experiment's seed.", min=1
        ),
    ] = 8,
    jobs: Annotated[
        int, typer.Option(help="Number of worker processes; 0 for one per core.", min=0)
    ] = 0,
    out: Annotated[Path, typer.Option(help="Folder for the results.")] = Path("found/model"),
    json: Json = False,
) -> None:
    """Run an experiment at several sizes and loss ratios, and print means and intervals over seeds.

    Example: larchhaven model sweep example/model/death.textproto --members 8,50 --loss 0,5
    """
    from larchhaven.cli import model as implementation

    raise typer.Exit(
        implementation.run_sweep(experiment, members, loss, detector or [], seeds, jobs, out, json)
    )


@model.command("plot")
def model_plot(
    results: Annotated[Path, typer.Argument(help="Folder with the results of a sweep.")],
    out: Annotated[Path, typer.Option(help="HTML file to write, with embedded plots.")] = Path(
        "found/model.html"
    ),
) -> None:
    """Plot the results of a sweep in one HTML file.

    Example: larchhaven model plot found/model --out found/model.html
    """
    from larchhaven.cli import model as implementation

    raise typer.Exit(implementation.plot_sweep(results, out))


@model.command("search")
def model_search(
    scene: Annotated[
        list[str] | None, typer.Option(help="Starting state; may be repeated; all if omitted.")
    ] = None,
    size: Annotated[int, typer.Option(help="Number of members.", min=3, max=5)] = 3,
    depth: Annotated[int, typer.Option(help="Maximum number of steps.", min=0)] = 5,
    states: Annotated[
        int, typer.Option(help="Maximum number of states per starting state.", min=1)
    ] = 5000,
    json: Json = False,
) -> None:
    """Check every order, loss and duplication of messages among a few members, up to a depth.

    Example: larchhaven model search --scene accused --depth 7 --states 20000
    """
    from larchhaven.cli import model as implementation

    raise typer.Exit(implementation.run_search(scene or [], size, depth, states, json))


def main(arguments: Sequence[str]) -> int:
    """Run the sub-command given by the arguments.

    Args:
        arguments: Command-line arguments without the program name.

    Returns:
        The exit code.
    """
    try:
        code = app(list(arguments), prog_name="larchhaven")
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else ExitCode.DOES_NOT_HOLD
    return code if isinstance(code, int) else ExitCode.HOLDS
