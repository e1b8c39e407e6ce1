"""The identities of open requests, of which no two may be the same."""

from __future__ import annotations

from typing import Protocol


class IdentityExchange(Protocol):
    """The identities that the other process of a hot restart knows."""

    def announce_identity(self, identity: bytes, is_open: bool, /) -> None:
        """Notify the other process that an identity is open, or is not any more."""

    def is_open_elsewhere(self, identity: bytes, /) -> bool:
        """Return whether the other process has an open request of this identity."""


class OpenIdentities:
    """Which open request has which identity; requests of protocols without any have none."""

    def __init__(self) -> None:
        self._request_ids: dict[bytes, int] = {}
        self._exchange: IdentityExchange

    def attach_exchange(self, exchange: IdentityExchange) -> None:
        """Set where changes are announced."""
        self._exchange = exchange

    def list_identities(self) -> list[bytes]:
        """Return the identities of this process's open requests."""
        return list(self._request_ids)

    def is_open(self, identity: bytes) -> bool:
        """Return whether a request of this identity is open, here or at the other process."""
        return identity in self._request_ids or self._exchange.is_open_elsewhere(identity)

    def register_identity(self, identity: bytes, request_id: int) -> None:
        """Take notice that a request is open; the latest one of an identity has it."""
        if identity:
            self._request_ids[identity] = request_id
            self._exchange.announce_identity(identity, True)

    def release_identity(self, identity: bytes, request_id: int) -> None:
        """Take notice that a request is over; an identity that a later one has stays open."""
        if self._request_ids.get(identity) == request_id:
            del self._request_ids[identity]
            self._exchange.announce_identity(identity, False)
