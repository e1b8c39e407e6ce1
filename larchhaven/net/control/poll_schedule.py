"""Decides when a further poll follows one that discovery has not answered yet."""

from __future__ import annotations

# A missed change counts as notified 2 s after the hold time of a silent watch; all prompt polls are
# sent before that.
PROMPT_POLL_INTERVAL_US = 650_000
MAX_PROMPT_POLLS = 3
# When discovery answers again, a drain grace may be as short as half a second.
MIN_POLL_INTERVAL_US = 400_000
# For each proxy of the fleet, so that discovery gets no more polls than it can answer.
POLL_INTERVAL_PER_PROXY_US = 125_000
MAX_POLL_INTERVAL_US = 5_000_000


class PollSchedule:
    """Spaces out the polls while no response arrives.

    The prompt polls follow each other closely, as one of them may have been lost. Later ones follow
    at a steady interval, for as long as the silence lasts.

    Args:
        proxy_count: Number of proxies that use discovery.

    Attributes:
        steady_interval_us: The interval in microseconds after the prompt polls, and between
            connects that hang. All proxies together poll no faster than discovery answers.
    """

    def __init__(self, proxy_count: int) -> None:
        interval_us = POLL_INTERVAL_PER_PROXY_US * proxy_count
        self.steady_interval_us = min(max(interval_us, MIN_POLL_INTERVAL_US), MAX_POLL_INTERVAL_US)
        self._prompt_polls_left = MAX_PROMPT_POLLS

    def reset(self) -> None:
        """Allow the prompt polls again, once a list has been received."""
        self._prompt_polls_left = MAX_PROMPT_POLLS

    def end_prompt_polls(self) -> None:
        """Use the steady interval from now on, as discovery has answered with an error."""
        self._prompt_polls_left = 0

    def note_poll(self) -> int:
        """Note that a poll is sent; return the time until the next one, in microseconds."""
        self._prompt_polls_left = max(self._prompt_polls_left - 1, 0)
        return PROMPT_POLL_INTERVAL_US if self._prompt_polls_left else self.steady_interval_us
