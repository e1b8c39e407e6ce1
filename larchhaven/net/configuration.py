"""The proxy's configuration: a JSON file whose keys are defined by the platform.

The keys under ``settings`` are those of the simulator's protocol.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from larchhaven.errors import LarchhavenError
from larchhaven.net.control.endpoint_directory import EndpointListMessage, parse_address
from larchhaven.routing import settings_codec
from larchhaven.routing.settings import RoutingSettings
from larchhaven.text_fields import FormatError


class ConfigurationError(LarchhavenError):
    """The configuration is invalid, so the proxy cannot start with it."""


class ConfigurationFileError(ConfigurationError):
    """The configuration file cannot be read or decoded.

    Attributes:
        reason: The explanation for operators.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class InvalidSettingError(ConfigurationError):
    """A setting has an invalid value.

    Attributes:
        setting: The key in the file, or the name of the environment variable.
        requirement: The requirement on the value, and the actual value.
    """

    def __init__(self, setting: str, requirement: str) -> None:
        super().__init__(f"{setting} {requirement}")
        self.setting = setting
        self.requirement = requirement


class OperatorFileError(ConfigurationError):
    """The operators' file sets memory caps that do not fit the machine's grant.

    Attributes:
        path: The path of the file.
        line: The line that causes the error, from 1; 0 if no single line does.
        reason: The explanation for operators.
    """

    def __init__(self, path: str, line: int, reason: str) -> None:
        super().__init__(f"{path}:{line}: {reason}")
        self.path = path
        self.line = line
        self.reason = reason


class MachineLimits(msgspec.Struct):
    """The resources that the machine grants to the proxy.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in MB of 2**20 bytes.
        sockets: Open descriptors.
    """

    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _ConfigurationFile(msgspec.Struct):
    """The content of the configuration file."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: MachineLimits = msgspec.field(default_factory=MachineLimits)
    mgmt: str | None = None
    peer_listen: str | None = None
    peers: list[str] = msgspec.field(default_factory=list)
    peers_all: str | None = None
    known: EndpointListMessage | None = None


@dataclass(frozen=True, slots=True)
class ProxyConfiguration:
    """The configuration of a proxy.

    Attributes:
        name: The proxy's name in its log; may be empty.
        listen_address: Host and port at which clients connect.
        discovery_address: Host and port of discovery.
        seed: Seed of the random numbers in routing decisions.
        limits: The resources that the machine grants.
        admin_address: Host and port of the admin API; None if there is none.
        socket_fd: Descriptor of the listening socket for clients, if it is inherited from the
            platform.
        peer_listen_address: Host and port at which this proxy receives datagrams of other proxies;
            None if it receives none.
        peer_addresses: Host and port of every proxy, by proxy index.
        peer_broadcast_address: Host and port that reach all proxies at once; None if there is no
            such address.
        initial_endpoints: The endpoint list to start with.
        settings: The routing settings.
        class_indexes: The index of each request class, by name.
        tenant_indexes: The index of each tenant, by name.
        zones: The names of the zones, by index.
        hardware_kinds: The names of the server hardware kinds, by index.
    """

    name: str
    listen_address: tuple[str, int]
    discovery_address: tuple[str, int]
    seed: int
    limits: MachineLimits
    admin_address: tuple[str, int] | None
    socket_fd: int | None
    peer_listen_address: tuple[str, int] | None
    peer_addresses: tuple[tuple[str, int], ...]
    peer_broadcast_address: tuple[str, int] | None
    initial_endpoints: EndpointListMessage
    settings: RoutingSettings
    class_indexes: dict[str, int]
    tenant_indexes: dict[str, int]
    zones: tuple[str, ...]
    hardware_kinds: tuple[str, ...]

    @property
    def shares_socket(self) -> bool:
        """Whether the other process of a hot restart may share the listening socket for clients."""
        return self.socket_fd is not None


def load_configuration(environment: Mapping[str, str]) -> ProxyConfiguration:
    """Load the configuration from the file that ``EDGE_CONFIG`` names.

    Args:
        environment: The environment variables, which also supply settings missing from the file.

    Raises:
        ConfigurationError: The configuration is invalid.
    """
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise InvalidSettingError("EDGE_CONFIG", "is not set; it must name the configuration file")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationFileError(f"{path} cannot be read: {error.strerror}") from None
    return decode_configuration(raw, environment)


def decode_configuration(raw: bytes, environment: Mapping[str, str]) -> ProxyConfiguration:
    """Decode the content of a configuration file.

    Args:
        raw: The content of the file.
        environment: The environment variables, which supply settings missing from the file.

    Raises:
        ConfigurationError: The configuration is invalid.
    """
    file = _decode_file(raw)
    settings = _decode_settings(file.settings)
    seed = _parse_seed(file.seed)
    socket_fd = _parse_socket_fd(environment.get("EDGE_SOCKET_FD", ""))
    tenants = _index_by_name(file.settings, "parties")
    return ProxyConfiguration(
        name=file.name or environment.get("EDGE_NAME", ""),
        listen_address=_parse_address(file.listen or environment.get("EDGE_LISTEN", ""), "listen"),
        discovery_address=_parse_address(
            file.discovery or environment.get("EDGE_DISCOVERY", ""), "discovery"
        ),
        seed=seed,
        limits=file.limits,
        admin_address=_parse_optional_address(
            file.mgmt or environment.get("EDGE_MGMT", ""), "mgmt"
        ),
        socket_fd=socket_fd,
        peer_listen_address=_parse_optional_address(file.peer_listen, "peer_listen"),
        peer_addresses=tuple(_parse_address(peer, "peers") for peer in file.peers),
        peer_broadcast_address=_parse_optional_address(file.peers_all, "peers_all"),
        initial_endpoints=file.known
        or EndpointListMessage(version=0, endpoints=[], is_complete=True),
        settings=settings,
        class_indexes=_index_by_name(file.settings, "services"),
        # A tenant without a name is left out: it would match every client that names no tenant.
        tenant_indexes={name: index for name, index in tenants.items() if name},
        zones=_list_names(file.settings, "zones"),
        hardware_kinds=_list_names(file.settings, "kinds"),
    )


def _decode_file(raw: bytes) -> _ConfigurationFile:
    try:
        return msgspec.json.decode(raw, type=_ConfigurationFile)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        reason = f"invalid configuration file: {error}"
        raise ConfigurationFileError(reason) from None


def _decode_settings(settings: dict[str, Any]) -> RoutingSettings:
    try:
        return settings_codec.decode_nested(settings)
    except FormatError as error:
        raise ConfigurationFileError(f"settings: {error}") from None


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        requirement = f"must be a hexadecimal number, not {text!r}"
        raise InvalidSettingError("seed", requirement) from None


def _parse_socket_fd(text: str) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise InvalidSettingError("EDGE_SOCKET_FD", f"must be a descriptor number, not {text!r}")
    return int(text)


def _parse_address(text: str, setting: str) -> tuple[str, int]:
    address = parse_address(text)
    if address is None:
        raise InvalidSettingError(setting, f"must be host:port, not {text!r}")
    return address


def _parse_optional_address(text: str | None, setting: str) -> tuple[str, int] | None:
    return _parse_address(text, setting) if text else None


def _list_names(settings: Mapping[str, Any], setting: str) -> tuple[str, ...]:
    values = settings.get(setting) or []
    if not isinstance(values, list):
        raise InvalidSettingError(
            f"settings.{setting}", f"must be a list of names, not {type(values).__name__}"
        )
    return tuple(str(value) for value in values)


def _index_by_name(settings: Mapping[str, Any], setting: str) -> dict[str, int]:
    """Map the name of each entry in a list to its index; a missing name is the empty string."""
    entries = settings.get(setting)
    indexes: dict[str, int] = {}
    for index, entry in enumerate(entries if isinstance(entries, list) else []):
        name = str(entry.get("name", "")) if isinstance(entry, dict) else ""
        indexes[name] = index
    return indexes
