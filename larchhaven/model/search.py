"""A bounded state-space search over all orders, losses and duplications of messages.

A search covers a few members and starts from a state just after a failure. It tries all steps up
to a depth: a message is delivered, is lost, or is delivered and stays in flight to be delivered
again; or time advances to the next turn of a member. States that were visited before are not
expanded again.

Invariants are checked after each step. In addition, the network is healed from each state whose
combination of views, suspicions and pending updates is new. All views must then become equal and
correct.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from larchhaven.membership.membership import Membership
from larchhaven.model.errors import InvariantViolationError
from larchhaven.model.search_state import SearchState
from larchhaven.model.search_steps import (
    CONVERGENCE_TIMEOUT_US,
    Step,
    possible_steps,
    run_without_faults,
    take_step,
)
from larchhaven.model.starting_states import STARTING_STATES

DEFAULT_MEMBERS = 3
DEFAULT_DEPTH = 6
DEFAULT_MAX_STATES = 4000
MAX_MESSAGES_CONSIDERED = 4

_REPORT_KEYS = {
    "starting_state": "scene",
    "healed_states": "wholes",
    "completed_depth": "deepest",
    "is_truncated": "cut_short",
    "violation": "broken",
    "counterexample": "path",
}


class SearchReport(msgspec.Struct, rename=_REPORT_KEYS):
    """The result of a search; ``rename`` gives the JSON keys of ``model search --json``.

    Attributes:
        starting_state: The name of the starting state.
        states: Number of distinct states, without the starting state.
        steps: Number of steps that were tried.
        healed_states: Number of states from which the network was healed.
        completed_depth: The greatest depth whose states were all examined.
        is_truncated: Whether states were skipped because of the limit on their number.
        violation: The first violation of an invariant; empty if there was none.
        counterexample: A shortest path to the violation, one text for each step.
    """

    starting_state: str
    states: int = 0
    steps: int = 0
    healed_states: int = 0
    completed_depth: int = 0
    is_truncated: bool = False
    violation: str = ""
    counterexample: list[str] = msgspec.field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Node:
    """A state and the steps that lead to it."""

    state: SearchState
    path: tuple[Step, ...] = ()


class StateSpaceSearch:
    """Searches all states that can follow from a first state.

    Args:
        name: The name of the starting state.
        first_state: The state to start from.
        max_depth: The maximum number of steps on a path.
        max_states: The maximum number of states to examine, including the first one.
        max_messages: The maximum number of messages in flight to consider in a state.

    Attributes:
        report: The results so far.
    """

    def __init__(
        self,
        name: str,
        first_state: SearchState,
        max_depth: int,
        max_states: int,
        max_messages: int = MAX_MESSAGES_CONSIDERED,
    ) -> None:
        self.report = SearchReport(name)
        self._first_state = first_state
        self._max_depth = max_depth
        self._max_states = max_states
        self._max_messages = max_messages
        self._visited: set[tuple[object, ...]] = set()
        self._healed: set[tuple[object, ...]] = set()

    def run(self) -> SearchReport:
        """Search breadth-first, so that a counterexample has the fewest steps."""
        self._visited.add(self._first_state.fingerprint())
        level = [_Node(self._first_state)]
        for depth in range(self._max_depth + 1):
            next_level: list[_Node] = []
            for node in level:
                if not self._examine(node):
                    return self.report
                if depth < self._max_depth and not self._expand(node, next_level):
                    return self.report
            self.report.completed_depth = depth
            level = next_level
        return self.report

    def _examine(self, node: _Node) -> bool:
        """Heal the network from a state; return whether views became equal and correct."""
        fingerprint = node.state.view_fingerprint()
        if fingerprint in self._healed:
            return True
        self._healed.add(fingerprint)
        self.report.healed_states += 1
        try:
            run_without_faults(node.state.copy(), CONVERGENCE_TIMEOUT_US)
        except InvariantViolationError as error:
            self._report_violation(error, node.path)
            return False
        return True

    def _expand(self, node: _Node, next_level: list[_Node]) -> bool:
        """Append the new successors of a node; return whether all invariants held."""
        for step in possible_steps(node.state, self._max_messages):
            successor = _Node(node.state.copy(), (*node.path, step))
            self.report.steps += 1
            try:
                take_step(successor.state, step)
            except InvariantViolationError as error:
                self._report_violation(error, successor.path)
                return False
            if self._is_new(successor.state):
                next_level.append(successor)
        return True

    def _is_new(self, state: SearchState) -> bool:
        """Record a state; return whether it is new and within the limit on states."""
        fingerprint = state.fingerprint()
        if fingerprint in self._visited:
            return False
        if len(self._visited) >= self._max_states:
            self.report.is_truncated = True
            return False
        self._visited.add(fingerprint)
        self.report.states += 1
        return True

    def _report_violation(self, error: InvariantViolationError, path: tuple[Step, ...]) -> None:
        self.report.violation = error.violation
        self.report.counterexample = [str(step) for step in path]


def search_from(
    name: str,
    *,
    members: int = DEFAULT_MEMBERS,
    max_depth: int = DEFAULT_DEPTH,
    max_states: int = DEFAULT_MAX_STATES,
    membership_type: type[Membership] = Membership,
) -> SearchReport:
    """Search from one of the starting states.

    Args:
        name: A key of ``STARTING_STATES``.
        members: The number of members.
        max_depth: The maximum number of steps on a path.
        max_states: The maximum number of states to examine.
        membership_type: The protocol to search, or a variant of it with a planted fault.

    Returns:
        The report. It also covers a violation on the way to the starting state.
    """
    try:
        first_state = STARTING_STATES[name](members, membership_type)
    except InvariantViolationError as error:
        return SearchReport(name, violation=error.violation)
    return StateSpaceSearch(name, first_state, max_depth, max_states).run()
