"""Enables and disables the membership: by the operators' file, at hot restarts and at shutdown.

The protocol is imported only when it is enabled, so that proxies without it save the memory.
"""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Protocol

import msgspec

from larchhaven.net.control.membership_report import MembershipDisabledReport
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.operator.settings import Settings
from larchhaven.routing.settings import RoutingSettings

if TYPE_CHECKING:
    from larchhaven.net.control.membership_transport import MembershipTransport

# First byte of each membership datagram.
DATAGRAM_PREFIX = b"M"
# Memory per entry of the peer table; see benchmarks/membership_costs.py.
BYTES_PER_PEER = 1_500
# Size of the smallest peer table that contains another proxy.
MIN_TABLE_SIZE = 2

_KEY_BYTES = 32

_log = logging.getLogger("larchhaven")


def derive_key(secret: str) -> bytes:
    """Derive the key that authenticates datagrams from the operators' secret of any length."""
    return hashlib.blake2b(secret.encode(), digest_size=_KEY_BYTES).digest()


class MembershipConfiguration(Protocol):
    """The part of the platform's configuration that the membership needs."""

    @property
    def name(self) -> str:
        """Name of this proxy."""

    @property
    def settings(self) -> RoutingSettings:
        """The routing settings."""

    @property
    def seed(self) -> int:
        """Seed of the random number generator."""

    @property
    def peer_listen_address(self) -> tuple[str, int] | None:
        """Address on which peers reach this proxy; None if they cannot."""

    @property
    def peer_addresses(self) -> Sequence[tuple[str, int]]:
        """Addresses of all proxies by number, including this one."""


class MembershipSwitch:
    """Enables and disables the membership of this proxy.

    Args:
        loop: The event loop.
        config: The platform's configuration.
        send_datagram: Sends a datagram to the proxy with this number.
        shares_load_reports: Whether this proxy shares the results of its health checks.

    Attributes:
        on_present_changed: Called with the proxies that are presumed present when this set
            changes. Called with all proxies of the peer table when the membership is disabled.
    """

    def __init__(
        self,
        loop: EventLoop,
        config: MembershipConfiguration,
        send_datagram: Callable[[int, bytes], None],
        shares_load_reports: bool,
    ) -> None:
        self.on_present_changed: Callable[[frozenset[int]], None] = lambda _: None
        self._loop = loop
        self._config = config
        self._send_datagram = send_datagram
        self._shares_load_reports = shares_load_reports
        self._settings = Settings()
        self._is_started = False
        self._previous_incarnation = 0  # 0 if there was no predecessor
        self._handed_over_incarnation = 0  # 0 unless the successor has taken over
        self._transport: MembershipTransport | None = None

    def disabled_reason(self) -> str:
        """Return why the membership is disabled, as text for operators; empty if it may run."""
        config = self._config
        if not self._settings.membership_enabled:
            return "the operators' file does not turn it on (membership.on)"
        if not config.settings.can_gossip:
            return "the platform's settings do not let proxies gossip (policy_limits.may_tell)"
        if config.peer_listen_address is None or len(config.peer_addresses) < MIN_TABLE_SIZE:
            return "the platform's configuration names no other proxies (peer_listen, peers)"
        if config.settings.proxy_index >= len(config.peer_addresses):
            return (
                f"proxy number {config.settings.proxy_index} is beyond the platform's list of "
                f"{len(config.peer_addresses)} peers"
            )
        if self.is_handed_over:
            return "the successor of this process has taken over the membership"
        return ""

    def start(self) -> None:
        """Start serving, and enable the membership if the settings say so."""
        self._is_started = True
        self._apply()

    def apply_settings(self, settings: Settings) -> None:
        """Enable or disable the membership or replace its keys, according to the settings."""
        self._settings = settings
        if self._is_started:
            self._apply()

    def handle_datagram(self, sender: int, data: bytes) -> bool:
        """Handle a membership datagram.

        Returns:
            False if the datagram is not a membership datagram, or the membership is disabled.
        """
        if self._transport is None or data[:1] != DATAGRAM_PREFIX:
            return False
        self._transport.handle_datagram(sender, data)
        return True

    def _apply(self) -> None:
        keys = [derive_key(secret) for secret in self._settings.membership_keys]
        reason = self.disabled_reason()
        if self._transport is None:
            if not reason:
                self._enable(keys)
            elif self._settings.membership_enabled:
                _log.warning("membership disabled: %s", reason)
        elif reason:
            self._transport.announce_leave()
            self._transport.stop()
            self._forget_transport()
        else:
            self._transport.set_keys(keys)

    def _enable(self, keys: list[bytes]) -> None:
        from larchhaven.membership.member import Capability, MemberInfo
        from larchhaven.net.control.membership_transport import MembershipTransport

        config = self._config
        own_number, table_size = config.settings.proxy_index, len(config.peer_addresses)
        capabilities = Capability.LOAD_REPORTS if self._shares_load_reports else Capability.NONE
        info = MemberInfo(config.name, config.settings.zone, capabilities=capabilities)
        self._transport = MembershipTransport(
            self._loop, own_number, table_size, info, keys, self._send_datagram, config.seed
        )
        self._transport.on_present_changed = self.on_present_changed
        self._transport.take_over(self._previous_incarnation)
        _log.info("membership enabled: proxy number %d, peer table size %d", own_number, table_size)

    def _forget_transport(self) -> None:
        self._transport = None
        # Without the membership, no proxy counts as gone.
        self.on_present_changed(frozenset(range(len(self._config.peer_addresses))))

    # Hot restart and shutdown

    @property
    def is_handed_over(self) -> bool:
        """Whether the successor has taken over the membership of this proxy."""
        return self._handed_over_incarnation > 0

    def hand_over(self) -> int:
        """Stop the membership; return the incarnation that the successor must exceed."""
        if self._transport is not None:
            self._handed_over_incarnation = self._transport.hand_over()
            self._forget_transport()
        return self._handed_over_incarnation

    def take_over(self, previous_incarnation: int) -> None:
        """Continue the membership of the predecessor, whose incarnation must be exceeded."""
        self._previous_incarnation = max(self._previous_incarnation, previous_incarnation)
        if self._transport is not None:
            self._transport.take_over(self._previous_incarnation)

    def resume(self) -> None:
        """Enable the membership again, as the successor ended before this process."""
        if self.is_handed_over:
            self._previous_incarnation = self._handed_over_incarnation
            self._handed_over_incarnation = 0
            self._apply()

    def announce_leave(self) -> None:
        """Announce the planned shutdown of this proxy."""
        if self._transport is not None:
            self._transport.announce_leave()

    # Reports

    def memory_bytes(self) -> int:
        """Return the memory used by the membership in bytes, for the memory account."""
        return (
            BYTES_PER_PEER * len(self._config.peer_addresses) if self._transport is not None else 0
        )

    def report_json(self) -> bytes:
        """Return the response body of ``GET /v1/members``."""
        if self._transport is not None:
            return msgspec.json.encode(self._transport.report())
        report = MembershipDisabledReport(is_enabled=False, disabled_reason=self.disabled_reason())
        return msgspec.json.encode(report)
