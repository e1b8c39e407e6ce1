"""``larchhaven members``: prints the membership view of a running proxy."""

from __future__ import annotations

import sys
import time

import msgspec

from larchhaven.cli.calls import CallError, fetch_body
from larchhaven.cli.exit_codes import ExitCode, exit_code_for
from larchhaven.net.control.membership_report import MemberReport, MembershipReport

POLL_INTERVAL_S = 1.0

_HEALTHY_SIDES = ("whole", "majority", "unknown")
_HEALTHY_STATES = ("alive", "left")
_HEADER = (
    f"{'no.':>4}  {'name':<24}  {'zone':>4}  {'state':<8}  {'for':>9}  {'incarnation':>11}  by"
)


def show(address: str, watch: bool, as_json: bool) -> int:
    """Print the membership view of a proxy, once or whenever it changes.

    Args:
        address: Address of the proxy's admin API, HOST:PORT.
        watch: Whether to continue until interrupted.
        as_json: Whether to print the JSON response of the proxy unchanged.

    Returns:
        The exit code: 0 if the view is synchronized, no member is suspected or dead, and the proxy
        is not on the minority side of a partition; 1 otherwise; 2 if the request failed.
    """
    last_shown: tuple[object, ...] | None = None
    while True:
        try:
            body = fetch_body(address, "/v1/members")
            report = msgspec.json.decode(body, type=MembershipReport)
        except (CallError, msgspec.DecodeError) as error:
            print(f"larchhaven members: {error}", file=sys.stderr)
            return ExitCode.UNUSABLE_INPUT
        exit_code = exit_code_for(_is_healthy(report))
        shown = _watched_fields(report)
        if shown != last_shown:
            if as_json:
                print(body.decode(), flush=True)
            else:
                _print_report(report)
        last_shown = shown
        if not watch:
            return exit_code
        try:
            time.sleep(POLL_INTERVAL_S)
        except KeyboardInterrupt:
            return exit_code


def _watched_fields(report: MembershipReport) -> tuple[object, ...]:
    """Return the fields whose change causes the report to be printed again."""
    members = [
        (member.number, member.state, member.incarnation, member.suspectors)
        for member in report.members
    ]
    return members, report.is_synchronized, report.partition_side


def _is_healthy(report: MembershipReport) -> bool:
    return (
        report.is_enabled
        and report.is_synchronized
        and report.partition_side in _HEALTHY_SIDES
        and all(member.state in _HEALTHY_STATES for member in report.members)
    )


def _print_report(report: MembershipReport) -> None:
    if not report.is_enabled:
        print(f"membership is off: {report.disabled_reason}")
        return
    _print_summary(report)
    print(_HEADER)
    for member in report.members:
        _print_member(member, is_reporter=member.number == report.own_number)
    unknown_count = report.table_size - len(report.members)
    if unknown_count:
        print(f"members not known yet: {unknown_count}")
    rejected = ", ".join(f"{reason} {count}" for reason, count in report.rejected.items())
    if rejected:
        print(f"datagrams rejected: {rejected}")


def _print_summary(report: MembershipReport) -> None:
    side = f"{report.partition_side} of the {report.agreed_count} members last agreed on"
    summary = f"{report.present_count} of {report.table_size} present, partition side: {side}"
    if not report.is_synchronized:
        summary += ", not synchronized: no answer since the start or the last pause of the proxy"
    print(summary)
    if report.health_score:
        factor = report.health_score + 1
        print(f"local health score {report.health_score} of 8: probes take {factor}x as long")
    if report.lost_zones:
        print(f"zones without a present member: {', '.join(map(str, report.lost_zones))}")


def _print_member(member: MemberReport, *, is_reporter: bool) -> None:
    zone = "" if member.zone is None else str(member.zone)
    name = member.name.encode("unicode_escape").decode()
    suspectors = ", ".join(str(number) for number in member.suspectors)
    note = " (this one)" if is_reporter else ""
    print(
        f"{member.number:>4}  {name:<24}  {zone:>4}  {member.state:<8}"
        f"  {member.learned_ago_s:>8.1f}s  {member.incarnation:>11}  {suspectors}{note}"
    )
