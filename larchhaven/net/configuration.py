"""The proxy's configuration: one JSON file, whose settings have the names of the simulator's wire."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from larchhaven.net.control.endpoint_directory import EndpointListMessage, parse_address
from larchhaven.routing import settings_codec
from larchhaven.routing.settings import RoutingSettings
from larchhaven.text_fields import FormatError


class ConfigError(Exception):
    """A configuration that the proxy cannot start with, in one plain sentence."""


class Limits(msgspec.Struct):
    """What the machine grants the proxy."""

    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _File(msgspec.Struct):
    """The file as it is written."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    mgmt: str | None = None
    peer_listen: str | None = None
    peers: list[str] = msgspec.field(default_factory=list)
    peers_all: str | None = None
    known: EndpointListMessage | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """What a proxy is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    mgmt: tuple[str, int] | None
    socket_fd: int | None  # the clients' listening socket, if the platform holds it
    peer_listen: tuple[str, int] | None
    peers: tuple[tuple[str, int], ...]
    peers_all: tuple[str, int] | None
    known: EndpointListMessage
    settings: RoutingSettings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


def _address(text: str, what: str) -> tuple[str, int]:
    address = parse_address(text)
    if address is None:
        raise ConfigError(f"{what} must be host:port, not {text!r}")
    return address


def _names(settings: Mapping[str, Any], path: str) -> tuple[str, ...]:
    values = settings.get(path) or []
    if not isinstance(values, list):
        raise ConfigError(f"settings.{path} must be a list of names")
    return tuple(str(value) for value in values)


def _numbers_by_name(settings: Mapping[str, Any], path: str) -> dict[str, int]:
    """Number what a list of the settings names, in its order; an entry without a name has an empty one."""
    entries = settings.get(path)
    found = enumerate(entries if isinstance(entries, list) else [])
    return {str(entry.get("name", "")) if isinstance(entry, dict) else "": i for i, entry in found}


def load(environment: Mapping[str, str]) -> Config:
    """Read the file that ``EDGE_CONFIG`` names; what it leaves out comes from the environment."""
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set: it names the configuration file")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from None
    return decode(raw, environment)


def decode(raw: bytes, environment: Mapping[str, str]) -> Config:
    """Read a configuration's text."""
    try:
        file = msgspec.json.decode(raw, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"the configuration is not as it should be: {error}") from None
    try:
        settings = settings_codec.decode_nested(file.settings)
    except FormatError as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"seed must be a hexadecimal number, not {file.seed!r}") from None
    mgmt = file.mgmt or environment.get("EDGE_MGMT", "")
    socket_fd = environment.get("EDGE_SOCKET_FD", "")
    if socket_fd and not (socket_fd.isascii() and socket_fd.isdigit()):
        raise ConfigError(f"EDGE_SOCKET_FD must be a descriptor's number, not {socket_fd!r}")
    return Config(
        name=file.name or environment.get("EDGE_NAME", ""),
        listen=_address(file.listen or environment.get("EDGE_LISTEN", ""), "listen"),
        discovery=_address(file.discovery or environment.get("EDGE_DISCOVERY", ""), "discovery"),
        seed=seed,
        limits=file.limits,
        mgmt=_address(mgmt, "mgmt") if mgmt else None,
        socket_fd=int(socket_fd) if socket_fd else None,
        peer_listen=_address(file.peer_listen, "peer_listen") if file.peer_listen else None,
        peers=tuple(_address(peer, "peers") for peer in file.peers),
        peers_all=_address(file.peers_all, "peers_all") if file.peers_all else None,
        known=file.known or EndpointListMessage(version=0, endpoints=[], is_complete=True),
        settings=settings,
        classes=_numbers_by_name(file.settings, "services"),
        # Clients that name no member must not be taken for one that has no name.
        tenants={name: i for name, i in _numbers_by_name(file.settings, "parties").items() if name},
        zones=_names(file.settings, "zones"),
        kinds=_names(file.settings, "kinds"),
    )
