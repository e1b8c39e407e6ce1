"""Tracks the identities of open requests, which must be unique."""

from __future__ import annotations

from typing import Protocol

from larchhaven.net.control.executed_identities import Execution


class IdentityExchange(Protocol):
    """Exchanges open identities with the other process of a hot restart."""

    def announce_identity(
        self, identity: bytes, is_open: bool, execution: Execution | None, /
    ) -> None:
        """Notify the other process that a request with this identity was opened or has ended.

        Args:
            identity: The identity.
            is_open: Whether the request is open now.
            execution: How a request that has ended may have been executed; None if it was not.
        """

    def is_open_elsewhere(self, identity: bytes, /) -> bool:
        """Return whether the other process has an open request with this identity."""


class OpenIdentities:
    """Maps identities to open requests; requests of protocols without identities are skipped."""

    def __init__(self) -> None:
        self._request_ids: dict[bytes, int] = {}
        self._exchange: IdentityExchange

    def attach_exchange(self, exchange: IdentityExchange) -> None:
        """Set the exchange that announces changes to the other process."""
        self._exchange = exchange

    def list_identities(self) -> list[bytes]:
        """Return the identities of this process's open requests."""
        return list(self._request_ids)

    def is_open(self, identity: bytes) -> bool:
        """Return whether a request with this identity is open, here or in the other process."""
        return identity in self._request_ids or self._exchange.is_open_elsewhere(identity)

    def register_identity(self, identity: bytes, request_id: int) -> None:
        """Record an open request; it replaces an earlier one with the same identity."""
        if identity:
            self._request_ids[identity] = request_id
            self._exchange.announce_identity(identity, True, None)

    def release_identity(
        self, identity: bytes, request_id: int, execution: Execution | None = None
    ) -> None:
        """Record the end of a request; the identity stays open if a later request has it.

        Args:
            identity: The identity of the request.
            request_id: The id of the request.
            execution: How it may have been executed; None if it was not.
        """
        if self._request_ids.get(identity) == request_id:
            del self._request_ids[identity]
            self._exchange.announce_identity(identity, False, execution)
