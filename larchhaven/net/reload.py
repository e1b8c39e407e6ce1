"""Reloads the platform's configuration and the operators' file on SIGHUP.

A reload keeps connections, the endpoint list and load reports. An invalid file changes nothing.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from larchhaven.memory.plan import MemoryPlan, MemoryPlanError
from larchhaven.net.admin.operator_file import OperatorFileReader
from larchhaven.net.admin.process_memory import read_resident_bytes
from larchhaven.net.configuration import ConfigurationError, ProxyConfiguration, load_configuration
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.membership_switch import MembershipSwitch
from larchhaven.net.core import log_setup
from larchhaven.net.core.metrics import Metrics
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.resources import ProxyResources, grant_bytes, plan_memory
from larchhaven.operator.settings import Complaint, Reading, Settings

# Limit for one reload; further complaints are not logged.
MAX_LOGGED_COMPLAINTS = 20

_log = logging.getLogger("larchhaven")


class UnreadClientShedder(Protocol):
    """Sheds clients that do not read what is sent to them."""

    unread_us: int  # a client may be shed after this time without reading


class OperatorSettings:
    """Applies the operators' settings, except for the memory caps.

    Args:
        log: The log whose rate the settings limit.
        limits: The limits on clients, with the admission reserve.
        listener: Sheds clients that do not read.
        membership: The membership, which the settings enable, disable or give new keys.
        is_log_json: Whether the log is currently in JSON.
    """

    def __init__(
        self,
        log: RateLimitedLog,
        limits: ConnectionLimits,
        listener: UnreadClientShedder,
        membership: MembershipSwitch,
        is_log_json: bool,
    ) -> None:
        self._log = log
        self._limits = limits
        self._listener = listener
        self._membership = membership
        self._is_log_json = is_log_json

    def apply(self, settings: Settings) -> None:
        """Replace the settings in effect."""
        self._limits.admission.reserve_ratio = settings.reserve_ratio
        self._listener.unread_us = settings.unread_us
        self._log.repeat_interval_us = settings.log_repeat_interval_us
        self._membership.apply_settings(settings)
        if settings.log_as_json != self._is_log_json:
            log_setup.configure_logging(settings.log_as_json)
            self._is_log_json = settings.log_as_json


class OperatorFileReload:
    """Reloads the operators' file and applies it completely or, if it is invalid, not at all.

    Args:
        path: The path of the file; empty if there is none.
        resources: The shared resources of the proxy.
        config: The configuration with the machine's grant.
        metrics: Counts successful and failed reloads.
        settings: Applies the settings other than memory caps.
    """

    def __init__(
        self,
        path: str,
        resources: ProxyResources,
        config: ProxyConfiguration,
        metrics: Metrics,
        settings: OperatorSettings,
    ) -> None:
        self._path = path
        self._accounting = resources.accounting
        self._limits = config.limits
        self._program_bytes = resources.program_bytes
        self._metrics = metrics
        self._settings = settings
        self._reader = OperatorFileReader(resources.loop, path, self._on_read)

    def start(self) -> None:
        """Start reading the file, if there is one; its settings are applied once it is read."""
        if self._path:
            self._reader.read(grant_bytes(self._limits) - read_resident_bytes())

    def _on_read(self, reading: Reading) -> None:
        if reading.complaints:
            self._reject(reading.complaints)
            return
        try:
            memory_plan = plan_memory(self._limits, self._program_bytes, reading.settings)
        except MemoryPlanError as error:
            self._reject([Complaint.at(reading.memory_position, str(error))])
            return
        self._apply(memory_plan, reading.settings)

    def _apply(self, memory_plan: MemoryPlan, settings: Settings) -> None:
        self._metrics.config_reloads += 1
        self._accounting.apply_plan(memory_plan)
        self._settings.apply(settings)
        _log.info("operators' file reloaded: %s", self._path)

    def _reject(self, complaints: list[Complaint]) -> None:
        self._metrics.config_reload_errors += 1
        for complaint in complaints[:MAX_LOGGED_COMPLAINTS]:
            _log.warning("operators' file not reloaded: %s", complaint.format(self._path))


class ConfigurationReload:
    """Reloads the configuration and switches to a new address of discovery.

    All other changes take effect at the next start of the proxy.

    Args:
        config: The configuration that the proxy was started with.
        metrics: Counts successful and failed reloads.
        change_discovery_address: Switches the watch of discovery to another host and port.
    """

    def __init__(
        self,
        config: ProxyConfiguration,
        metrics: Metrics,
        change_discovery_address: Callable[[tuple[str, int]], None],
    ) -> None:
        self._config = config
        self._metrics = metrics
        self._change_discovery_address = change_discovery_address

    def run(self) -> None:
        """Load the configuration; apply it if it is valid, else log the error."""
        try:
            config = load_configuration(os.environ)
        except ConfigurationError as error:
            self._metrics.config_reload_errors += 1
            _log.warning("configuration not reloaded: %s", error)
            return
        self._metrics.config_reloads += 1
        note = (
            "; other changes take effect at the next start"
            if self._has_other_changes(config)
            else ""
        )
        _log.info("configuration reloaded: discovery=%s:%d%s", *config.discovery_address, note)
        if config.discovery_address != self._config.discovery_address:
            self._config = replace(self._config, discovery_address=config.discovery_address)
            self._change_discovery_address(config.discovery_address)

    def _has_other_changes(self, config: ProxyConfiguration) -> bool:
        """Return whether anything but discovery's address and the initial endpoint list differs."""
        comparable = replace(
            config,
            discovery_address=self._config.discovery_address,
            initial_endpoints=self._config.initial_endpoints,
        )
        return comparable != self._config
