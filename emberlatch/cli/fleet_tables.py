"""Tables of a fleet as its members see it."""

from __future__ import annotations

from collections.abc import Mapping

from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from emberlatch.standalone.answers import FleetAnswer, MemberAnswer

FULL_SHARE = 0.999
"""A quota share of at least this fraction of 1/N counts as the full share, since figures are rounded."""
STATE_MARKS = {"alive": "+", "suspect": "?", "unreachable": "x", "left": "-", "joining": "."}
MARKS_LEGEND = "+ alive  ? suspect  x unreachable  - left  . joining  ~ heard through others only"


def show_fleet(view: FleetAnswer) -> None:
    """Print one member's view of its fleet."""
    console = Console()
    contact = f"cut off ({view.cut_reason})" if view.cut_reason else "with a majority"
    console.print(
        f"{view.member_name} of fleet {view.fleet_name}, life {view.generation}: "
        f"{contact} for {view.cut_age_s:g} s, "
        f"{view.present_count} of {view.fleet_size} members here",
        markup=False,
    )
    console.print(_quota_line(view))
    if view.closed_classes:
        console.print(f"closed classes: {', '.join(view.closed_classes)}", markup=False)
    table = Table("member", "state", "since", "life", "heard", "link", box=SIMPLE_HEAD)
    for name, member in view.members.items():
        table.add_row(*_member_row(name, member, name in view.connected_names))
    console.print(table)


def _quota_line(view: FleetAnswer) -> str:
    equal_share = 1 / view.fleet_size
    if view.quota_share >= equal_share * FULL_SHARE:
        reason = "all of its own"
    else:
        reason = "the least" if view.cut_reason else "growing again"
    return f"part of each limit: {view.quota_share:.4f} of 1/{view.fleet_size} = {equal_share:.4f} ({reason})"


def _member_row(name: str, member: MemberAnswer, linked: bool) -> list[str]:
    heard = "never" if member.last_frame_age_s is None else f"{member.last_frame_age_s:g} s ago"
    link = ("up" if linked else "none") + ("" if member.is_reached_directly else ", through others")
    return [name, member.state, f"{member.state_age_s:g} s", str(member.generation), heard, link]


def show_members(views: Mapping[str, FleetAnswer]) -> None:
    """Print which members each queried member sees, a row for each queried member."""
    names = sorted({*views, *(name for view in views.values() for name in view.members)})
    table = Table("seen by", *names, "cut off", box=SIMPLE_HEAD)
    for me, view in sorted(views.items()):
        marks = [_mark(name, me, view.members.get(name)) for name in names]
        cut = f"{view.cut_reason} {view.cut_age_s:g} s" if view.cut_reason else "no"
        table.add_row(me, *marks, cut)
    console = Console()
    console.print(table)
    console.print(MARKS_LEGEND)


def _mark(name: str, me: str, member: MemberAnswer | None) -> str:
    state = "=" if name == me else STATE_MARKS[member.state] if member else " "
    return state + ("" if member is None or member.is_reached_directly else "~")
