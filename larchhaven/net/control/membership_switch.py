"""Whether the membership is on, across operators' changes, upgrades and the stop; only then is it loaded."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from larchhaven.net.configuration import Config
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.operator.settings import Settings

if TYPE_CHECKING:
    from larchhaven.net.control.membership_transport import Members

# What datagrams of the membership begin with.
LETTER = b"M"
# Bytes that a place in the table of peers takes while it is on. Measured by benchmarks/membership_costs.py.
PLACE = 1_500

_log = logging.getLogger("larchhaven")


def proof(key: str) -> bytes:
    """Return the key of the messages' proof from what operators write, which may be of any length."""
    return hashlib.blake2b(key.encode(), digest_size=32).digest()


class MembersSwitch:
    """Turns the membership on and off.

    Args:
        loop: The loop.
        config: The platform's configuration.
        tell: Sends a datagram to a proxy by its number.
        shares: Whether this proxy shares its looks at the servers.

    """

    def __init__(
        self, loop: EventLoop, config: Config, tell: Callable[[int, bytes], None], shares: bool
    ) -> None:
        self._loop = loop
        self._config = config
        self._tell = tell
        self._shares = shares
        self._own = Settings()
        self._begun = False
        self._handed_on = 0  # to the next process: the incarnation that it is above
        self._above = 0  # the earlier process's
        self.members: Members | None = None
        # Told which proxies are not known to be gone, whenever that changes.
        self.present: Callable[[frozenset[int]], None] = lambda proxies: None

    def why_off(self) -> str:
        """Say why the membership is off, in words for operators; empty if it may be on."""
        if not self._own.membership:
            return "the operators' file does not turn it on (membership.on)"
        if not self._config.settings.can_gossip:
            return "the platform's settings do not let proxies talk"
        if self._config.peer_listen is None or len(self._config.peers) < 2:
            return "the platform's configuration names no other proxies (peer_listen, peers)"
        if self._config.settings.proxy_index >= len(self._config.peers):
            return "the own number is not in the platform's list of peers"
        if self._handed_on:
            return "the next process of this proxy speaks for it"
        return ""

    def apply(self, own: Settings) -> None:
        """Take operators' settings: on, off, or other keys."""
        self._own = own
        if self._begun:
            self._turn()

    def begin(self) -> None:
        """Begin, if it is on: this process serves from now on."""
        self._begun = True
        self._turn()

    def _turn(self) -> None:
        keys = [proof(key) for key in self._own.member_keys]
        off = self.why_off()
        if self.members is not None:
            if off:
                self.members.leave()
                self.members.stop()
                self.members = None
                self.present(
                    frozenset(range(len(self._config.peers)))
                )  # as if nobody knew anything
            else:
                self.members.set_keys(keys)
        elif not off:
            self._start(keys)
        elif self._own.membership:
            _log.warning("membership is off: %s", off)

    def _start(self, keys: list[bytes]) -> None:
        from larchhaven.membership.member import About, Can
        from larchhaven.net.control.membership_transport import Members

        config, settings = self._config, self._config.settings
        about = About(config.name, settings.zone, can=Can.REPORTS if self._shares else Can.NOTHING)
        size = len(config.peers)
        self.members = Members(
            self._loop, settings.proxy_index, size, about, keys, self._tell, config.seed
        )
        self.members.changed = self.present
        self.members.take_over(self._above)
        _log.info("membership is on: %d of %d proxies", settings.proxy_index, size)

    def on_datagram(self, sender: int, data: bytes) -> bool:
        """Take a datagram if it is the membership's, and that is on."""
        if self.members is None or data[:1] != LETTER:
            return False
        self.members.on_datagram(sender, data)
        return True

    # The next process of an upgrade, and the end

    def hand_on(self) -> int:
        """Fall silent for the next process; return the incarnation that it has to be above."""
        if self.members is not None:
            self._handed_on = self.members.hand_on()
            self.members = None
            self.present(frozenset(range(len(self._config.peers))))
        return self._handed_on

    def take_over(self, incarnation: int) -> None:
        """Speak for this proxy after its earlier process."""
        self._above = max(self._above, incarnation)
        if self.members is not None:
            self.members.take_over(self._above)

    def go_on(self) -> None:
        """Speak again: the next process has ended before this one."""
        if self._handed_on:
            self._above, self._handed_on = self._handed_on, 0
            self._turn()

    @property
    def handed_on(self) -> bool:
        """Tell whether the next process speaks."""
        return self._handed_on > 0

    def leave(self) -> None:
        """Say that this proxy stops as planned."""
        if self.members is not None:
            self.members.leave()

    # What operators read

    def used(self) -> int:
        """Return what it takes, by the account."""
        return PLACE * len(self._config.peers) if self.members is not None else 0

    def state(self) -> bytes:
        """Return all there is to say, as JSON."""
        if self.members is not None:
            return msgspec.json.encode(self.members.state())
        return msgspec.json.encode({"on": False, "why_off": self.why_off()})
