"""The lifecycle of a proxy: its start, reload and stop signals, and the start of its shutdown."""

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
    """Passes events to the balancer and carries out its actions."""

    def dispatch_events(self) -> None:
        """Pass the queued events to the balancer and carry out the resulting actions."""

    def on_process_resumed(self) -> None:
        """Hold events back until all input that arrived during a process pause has been read."""


class OpenableListener(Protocol):
    """Accepts clients once it has been opened."""

    @property
    def address(self) -> tuple[str, int]:
        """The address in use."""

    def open(self) -> None:
        """Start accepting clients."""


class AdminListener(Protocol):
    """Accepts calls to the admin API."""

    @property
    def address(self) -> tuple[str, int]:
        """The address in use."""


class ProxyLifecycle:
    """Starts the components of a proxy and handles its reload and stop signals.

    Args:
        resources: The shared resources of the proxy.
        config: The configuration.
        dispatcher: Passes events to the balancer and carries out its actions.
        servers: Watches the endpoint list and checks the health of the servers.
        listener: Accepts clients.
        admin_api: Accepts calls to the admin API; None if no address is configured for it.
        membership: This proxy's membership among the proxies.
        ejections: The servers ejected by operators.
        transfer: Shares state and connections with the other process of a hot restart.
        shutdown: Shuts the proxy down.
        configuration_reload: Reloads the configuration.
        operator_file_reload: Reloads the operators' file.
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
        """Serve until the shutdown is finished."""
        self._servers.start()
        if self._config.shares_socket:
            self._ejections.start_polling(self._loop)
            self._transfer.start(self._start_serving)
        else:
            self._ejections.refresh()
            self._start_serving()
        self._dispatcher.dispatch_events()
        self._loop.run()
        _log.info("proxy stopped")

    def on_reload_signal(self) -> None:
        """Reload the operators' file and the configuration."""
        self._operator_file_reload.start()
        self._configuration_reload.run()

    def on_stop_signal(self) -> None:
        """Start the shutdown; a second signal finishes it at once.

        In pass-through mode, established connections continue until the process ends; then another
        proxy takes them over. If connections end at the proxy, they would be lost with it, so the
        balancer migrates them.
        """
        if self._shutdown.is_shutting_down:
            self._shutdown.finish_now()
            return
        _log.info("shutdown started")
        self._membership.announce_leave()
        has_successor = self._transfer.hot_restart.has_successor
        self._shutdown.begin(MIGRATION_DELAY_US if has_successor else 0)

    def _start_serving(self) -> None:
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
        """Log the pause and hold events back until the input that arrived meanwhile is read."""
        self._log.warning("process paused, resumed", f"paused_s={paused_us / _US_PER_S:.1f}")
        self._dispatcher.on_process_resumed()
