"""What the protocol asks its host to do, gathered during one call."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.membership.messages import Message
from larchhaven.membership.view import MemberChanged


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to its receiver."""

    message: Message


Action = SendMessage | MemberChanged


class ActionBatch:
    """The time of the call under way, and the actions it has led to so far.

    Args:
        now_us: The time, by the local monotonic clock.
    """

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us
        self._actions: list[Action] = []

    def append(self, action: Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def drain(self) -> list[Action]:
        """Return the actions in the order they were added, and forget them."""
        actions, self._actions = self._actions, []
        return actions
