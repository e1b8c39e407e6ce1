"""Random event sequences among four members violate no invariant, and their views converge."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberInfo, MemberState, make_stamp
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import Message, MessageKind, StateUpdate
from larchhaven.model.search_state import ReproducibleRandom
from larchhaven.model.search_steps import (
    CONVERGENCE_TIMEOUT_US,
    advance_time,
    deliver_duplicated_message,
    deliver_message,
    lose_message,
    run_member,
    run_without_faults,
)
from larchhaven.model.starting_states import settled
from larchhaven.model.units import US_PER_SECOND

SIZE = 4
UNLIMITED = 1 << 30


class FleetMachine(RuleBasedStateMachine):
    """Four members with random deaths, restarts, leaves, pauses, suspicions and losses.

    Invariants are checked after each step, as in the search. At the end the network is healed: all
    views must become equal and correct.
    """

    def __init__(self) -> None:
        super().__init__()
        self.state = settled(SIZE, Membership)
        self.state.duplications_left = UNLIMITED
        self.restarts = 0

    def _pick_running(self, pick: int) -> int | None:
        running = [n for n in range(SIZE) if self.state.running[n]]
        return running[pick % len(running)] if len(running) > 1 else None

    @precondition(lambda self: self.state.in_flight)
    @rule(
        pick=st.integers(0, 50),
        outcome=st.sampled_from(["delivered", "delivered", "duplicated", "lost"]),
    )
    def message(self, pick: int, outcome: str) -> None:
        index = pick % len(self.state.in_flight)
        if outcome == "lost":
            lose_message(self.state, index)
        elif outcome == "duplicated":
            deliver_duplicated_message(self.state, index)
        else:
            deliver_message(self.state, index)

    @rule(turns=st.integers(1, 12), lost=st.booleans())
    def time(self, turns: int, lost: bool) -> None:
        for _ in range(turns):
            advance_time(self.state)
            if lost:
                self.state.in_flight.clear()

    @rule(pick=st.integers(0, 3), suspected=st.integers(0, 3), is_dead=st.booleans())
    def suspect(self, pick: int, suspected: int, is_dead: bool) -> None:
        number = self._pick_running(pick)
        if number is None or number == suspected:
            return
        incarnation = self.state.members[suspected].incarnation
        stamp = make_stamp(incarnation, MemberState.DEAD if is_dead else MemberState.SUSPECT)
        run_member(
            self.state,
            number,
            lambda member: member.receive(
                self.state.now_us,
                Message(
                    MessageKind.GOSSIP,
                    suspected,
                    number,
                    state_updates=(StateUpdate(suspected, stamp, (number + 1) % SIZE),),
                ),
            ),
        )

    @rule(pick=st.integers(0, 3))
    def dies(self, pick: int) -> None:
        number = self._pick_running(pick)
        if number is not None:
            self.state.running[number] = False

    @rule(pick=st.integers(0, 3))
    def leaves(self, pick: int) -> None:
        number = self._pick_running(pick)
        if number is not None and self.state.members[number].has_joined:
            run_member(self.state, number, lambda member: member.leave(self.state.now_us))
            self.state.running[number] = False
            self.state.left_numbers.add(number)

    @rule(pick=st.integers(0, 3), first_incarnation=st.integers(1, 300))
    def starts(self, pick: int, first_incarnation: int) -> None:
        if self.state.running[pick]:
            return
        self.restarts += 1
        earlier = self.state.members[pick]
        info = MemberInfo(f"n{pick}", pick % 3, started_unix_s=self.restarts)
        member = Membership(
            self.state.now_us,
            pick,
            SIZE,
            info,
            first_incarnation,
            ReproducibleRandom(self.restarts),
            ProtocolConfig(),
        )
        self.state.earlier_incarnations[pick] = max(
            earlier.incarnation, self.state.earlier_incarnations.get(pick, 0)
        )
        self.state.members[pick] = member
        self.state.running[pick] = True
        self.state.left_numbers.discard(pick)

    @rule(seconds=st.floats(1.1, 8))
    def pause_all(self, seconds: float) -> None:
        self.state.now_us += int(seconds * US_PER_SECOND)

    def teardown(self) -> None:
        run_without_faults(self.state, CONVERGENCE_TIMEOUT_US)


FleetMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestFleetMachine = FleetMachine.TestCase
