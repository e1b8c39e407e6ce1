"""Actions that a call of the protocol returns: messages to send, and changes of the view."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.membership.messages import Message
from larchhaven.membership.view import MemberChanged


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Request to send a message to its receiver."""

    message: Message


Action = SendMessage | MemberChanged


class ActionBatch:
    """The time of the current call, and the actions collected during it.

    Args:
        now_us: Current time of the local monotonic clock, in microseconds.
    """

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us
        self._actions: list[Action] = []

    def append(self, action: Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def drain(self) -> list[Action]:
        """Return the actions in the order they were added, and clear the batch."""
        actions, self._actions = self._actions, []
        return actions
