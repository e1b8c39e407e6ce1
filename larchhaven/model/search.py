"""A bounded state-space search: few members, every order, loss and duplication of messages.

A search starts where something has just gone wrong. From there all steps are tried up to a depth:
a message arrives, is lost, or arrives and stays in flight to arrive again; or nothing arrives
until some member's next turn. States that were met before are not expanded again. Invariants are
checked after each step, and from each state, as far as it differs in what members know, the
network is healed: all views must become equal and true.
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
    """What a search has found; the JSON keys are those of ``model search --json``.

    Attributes:
        starting_state: The name of the state where it started.
        states: Distinct states beside the first one.
        steps: Steps that were tried.
        healed_states: States from which the network was healed.
        completed_depth: The last depth of which all states were examined.
        is_truncated: Whether there were more states than allowed.
        violation: The invariant that was broken first; empty if none was.
        counterexample: The shortest path to it, as the words of its steps.
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
    """A state and the path to it."""

    state: SearchState
    path: tuple[Step, ...] = ()


class StateSpaceSearch:
    """Tries all that may follow from a state.

    Args:
        name: The name of the first state.
        first_state: Where the search starts.
        max_depth: How many steps are tried one after the other.
        max_states: How many states are examined at most, the first one included.
        max_messages: How many messages in flight are considered in a state.

    Attributes:
        report: What was found so far.
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
        self._met: set[tuple[object, ...]] = set()
        self._healed: set[tuple[object, ...]] = set()

    def run(self) -> SearchReport:
        """Search breadth first, so that a counterexample is a shortest one."""
        self._met.add(self._first_state.fingerprint())
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
        """Heal the network from a state; return whether views became equal and true."""
        known = node.state.knowledge_fingerprint()
        if known in self._healed:
            return True
        self._healed.add(known)
        self.report.healed_states += 1
        try:
            run_without_faults(node.state.copy(), CONVERGENCE_TIMEOUT_US)
        except InvariantViolationError as error:
            self._report_violation(error, node.path)
            return False
        return True

    def _expand(self, node: _Node, next_level: list[_Node]) -> bool:
        """Add the new states that follow from a node; return whether all invariants held."""
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
        """Note a state; return whether it is new and there is room for it."""
        fingerprint = state.fingerprint()
        if fingerprint in self._met:
            return False
        if len(self._met) >= self._max_states:
            self.report.is_truncated = True
            return False
        self._met.add(fingerprint)
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
        members: How many members there are.
        max_depth: How many steps are tried one after the other.
        max_states: How many states are examined at most.
        membership_type: The protocol that is searched, or a variant with a planted fault.

    Returns:
        What was found; a violation on the way to the starting state is reported too.
    """
    try:
        first_state = STARTING_STATES[name](members, membership_type)
    except InvariantViolationError as error:
        return SearchReport(name, violation=error.violation)
    return StateSpaceSearch(name, first_state, max_depth, max_states).run()
