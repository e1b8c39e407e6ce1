"""The life of a proxy: its start, its signals, and the begin of its shutdown."""

from __future__ import annotations

import logging
from typing import Protocol

from larchhaven.net.admin.administrative_ejection import AdministrativeEjections
from larchhaven.net.configuration import ProxyConfiguration
from larchhaven.net.control.membership_switch import MembershipSwitch
from larchhaven.net.graceful_shutdown import MIGRATION_DELAY_US, GracefulShutdown
from larchhaven.net.reload import ConfigurationReload, OperatorFileReload
from larchhaven.net.resources import ProxyResources
from larchhaven.net.state_transfer import StateTransfer
from larchhaven.net.upstream_servers import UpstreamServers

_US_PER_S = 1_000_000

_log = logging.getLogger("larchhaven")


class EventDispatcher(Protocol):
    """Runs the decisions."""

    def dispatch_events(self) -> None:
        """Have the queued events handled, and carry out the actions."""

    def on_process_resumed(self) -> None:
        """Decide nothing until pending input is read."""


class OpenableListener(Protocol):
    """Accepts the clients, from its opening on."""

    @property
    def address(self) -> tuple[str, int]:
        """The address in use."""

    def open(self) -> None:
        """Begin to accept clients."""


class AdminListener(Protocol):
    """Accepts the operators' calls."""

    @property
    def address(self) -> tuple[str, int]:
        """The address in use."""


class ProxyLifecycle:
    """Starts the parts of a proxy, and takes it through reloads and its shutdown.

    Args:
        resources: What the parts of the proxy share.
        config: The configuration.
        dispatcher: Runs the decisions.
        servers: What is known of the servers.
        listener: Accepts the clients.
        admin_api: Accepts the operators' calls; None if there is no such place.
        membership: The membership among the other proxies.
        ejections: The servers that operators have ejected.
        transfer: Shares state and connections with the other process of a hot restart.
        shutdown: Shuts the proxy down.
        configuration_reload: Reads the configuration again.
        operator_file_reload: Reads the operators' file again.
    """

    def __init__(
        self,
        resources: ProxyResources,
        config: ProxyConfiguration,
        dispatcher: EventDispatcher,
        servers: UpstreamServers,
        listener: OpenableListener,
        admin_api: AdminListener | None,
        membership: MembershipSwitch,
        ejections: AdministrativeEjections,
        transfer: StateTransfer,
        shutdown: GracefulShutdown,
        configuration_reload: ConfigurationReload,
        operator_file_reload: OperatorFileReload,
    ) -> None:
        self._loop = resources.loop
        self._log = resources.log
        self._accounting = resources.accounting
        self._config = config
        self._dispatcher = dispatcher
        self._servers = servers
        self._listener = listener
        self._admin_api = admin_api
        self._membership = membership
        self._ejections = ejections
        self._transfer = transfer
        self._shutdown = shutdown
        self._configuration_reload = configuration_reload
        self._operator_file_reload = operator_file_reload
        resources.loop.on_iteration_end = self._on_iteration_end
        resources.loop.on_process_resumed = self._on_process_resumed

    def run(self) -> None:
        """Serve until the end of the shutdown."""
        self._servers.start()
        if self._config.shares_socket:
            self._ejections.start_polling(self._loop)
            self._transfer.start(self._open)
        else:
            self._ejections.refresh()
            self._open()
        self._dispatcher.dispatch_events()
        self._loop.run()
        _log.info("proxy stopped")

    def on_reload_signal(self) -> None:
        """Read the operators' file and the configuration again."""
        self._operator_file_reload.start()
        self._configuration_reload.run()

    def on_stop_signal(self) -> None:
        """Begin the shutdown; at a second signal, finish it at once.

        Where packets pass through, established connections go on until the process ends: others
        take them over then. Elsewhere they would be lost, and the decisions migrate them.
        """
        if self._shutdown.is_shutting_down:
            self._shutdown.finish_now()
            return
        _log.info("shutdown started")
        self._membership.announce_leave()
        has_successor = self._transfer.hot_restart.has_successor
        self._shutdown.begin(MIGRATION_DELAY_US if has_successor else 0)

    def _open(self) -> None:
        self._accounting.start()
        self._listener.open()
        self._membership.start()
        host, port = self._listener.address
        if self._admin_api is not None:
            _log.info("management at %s:%d", *self._admin_api.address)
        _log.info("%s listens at %s:%d", self._config.name or "larchhaven", host, port)

    def _on_iteration_end(self) -> None:
        self._dispatcher.dispatch_events()
        if self._shutdown.is_shutting_down:
            self._transfer.transfer_connections()
        self._transfer.resume_membership()

    def _on_process_resumed(self, paused_us: int) -> None:
        """Decide nothing until pending input is read; the membership doubts what it knew."""
        self._log.warning("process paused, resumed", f"paused_s={paused_us / _US_PER_S:.1f}")
        self._dispatcher.on_process_resumed()
