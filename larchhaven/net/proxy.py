"""The proxy: builds its components and connects them to each other."""

from __future__ import annotations

import signal
from dataclasses import replace

from larchhaven.memory import item_costs
from larchhaven.memory.plan import MemoryPlanError
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.admin.administrative_ejection import AdministrativeEjections
from larchhaven.net.admin.http_api import ADMIN_DESCRIPTORS, AdminHttpApi
from larchhaven.net.admin_backend import ProxyAdminBackend
from larchhaven.net.configuration import OperatorFileError, ProxyConfiguration
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.dispatcher import Dispatcher
from larchhaven.net.control.interfaces import Transport, UpstreamAttempt
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.metrics import Metrics
from larchhaven.net.graceful_shutdown import GracefulShutdown
from larchhaven.net.lifecycle import ProxyLifecycle
from larchhaven.net.peer_messaging import PeerMessaging
from larchhaven.net.reload import ConfigurationReload, OperatorFileReload, OperatorSettings
from larchhaven.net.resources import ProxyResources, build_resources, raise_descriptor_limit
from larchhaven.net.sampled_memory import SampledMemory
from larchhaven.net.state_transfer import StateTransfer
from larchhaven.net.text_protocol.listener import SPARE_DESCRIPTORS, Listener
from larchhaven.net.text_protocol.upstream_attempt import TextUpstreamAttempt
from larchhaven.net.upstream_servers import UpstreamServers
from larchhaven.operator.settings import Reading, Settings
from larchhaven.routing.settings import RoutingSettings

# Fraction of the memory for tables that the sticky table may fill.
STICKY_TABLE_RATIO = 0.25


class Proxy:
    """A load-balancing proxy.

    Args:
        config: The configuration.
        operator_path: The path of the operators' file; empty if there is none.
        reading: The parsed operators' file; None if there is none.

    Raises:
        ConfigurationError: If the operators' caps do not fit the grant.
        OSError: If the proxy cannot listen at an address.
    """

    def __init__(
        self, config: ProxyConfiguration, operator_path: str = "", reading: Reading | None = None
    ) -> None:
        reading = reading or Reading(Settings(), [])
        loop = EventLoop()
        self._handle_signals(loop)
        self._config = config
        self._resources = _build_resources(loop, config, operator_path, reading)
        self._settings = _limit_sticky_table(config.settings, self._resources)
        self._metrics = Metrics.for_classes(list(config.class_indexes))
        self._dispatcher = self._build_dispatcher()
        self._servers = UpstreamServers(self._resources, config, self._dispatcher)
        self._peers = self._build_peer_messaging()
        self._transfer = self._build_transfer()
        self._dispatcher.attach_transport(self._build_transport())
        self._max_descriptors = _find_max_descriptors(config)
        self._limits = self._build_limits()
        self._listener = self._build_listener()
        self._shutdown = self._build_shutdown()
        self._ejections = AdministrativeEjections(
            self._resources.directory,
            self._dispatcher.set_administrative_ejection,
            self._resources.accounting.can_write_file,
        )
        self._lifecycle = self._build_lifecycle(operator_path, reading.settings)

    def run(self) -> None:
        """Serve until the shutdown is complete."""
        self._lifecycle.run()

    def _handle_signals(self, loop: EventLoop) -> None:
        # Called before the listener is built, as clients can connect from then on. A signal that
        # arrives during the start is handled in the first iteration of the event loop. An earlier
        # signal ends the process.
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop_signal, self._on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload_signal)

    def _on_stop_signal(self) -> None:
        self._lifecycle.on_stop_signal()

    def _on_reload_signal(self) -> None:
        self._lifecycle.on_reload_signal()

    def _build_dispatcher(self) -> Dispatcher:
        resources = self._resources
        return Dispatcher(
            resources.loop,
            resources.log,
            self._settings,
            self._config.seed,
            self._metrics,
            resources.account,
        )

    def _build_peer_messaging(self) -> PeerMessaging:
        return PeerMessaging(
            self._resources,
            self._config,
            self._dispatcher.queue_event,
            self._dispatcher.set_live_peers,
            self._metrics,
            self._config.shares_socket,
        )

    def _build_transfer(self) -> StateTransfer:
        transfer = StateTransfer(
            self._resources,
            self._settings,
            self._dispatcher.requests,
            self._dispatcher.connections,
            self._dispatcher.queue_event,
            self._peers.membership,
            self._servers.latest_reports,
            self._resources.directory if self._config.shares_socket else "",
        )
        self._peers.forward_gossip = transfer.hot_restart.forward_gossip
        return transfer

    def _build_transport(self) -> Transport:
        servers, hot_restart = self._servers, self._transfer.hot_restart
        return Transport(
            endpoints=servers.directory,
            start_attempt=self._start_attempt,
            check_health=servers.health_checks.check,
            close_idle_connections=servers.health_checks.close,
            set_watch_enabled=servers.endpoint_watch.set_enabled,
            poll_endpoints=servers.endpoint_watch.poll_complete_list,
            send_gossip=self._peers.send_gossip,
            announce_identity=hot_restart.announce_identity,
            is_open_elsewhere=hot_restart.is_open_elsewhere,
        )

    def _start_attempt(
        self, request_id: int, payload: bytes, address: tuple[str, int], timeout_us: int
    ) -> UpstreamAttempt:
        return TextUpstreamAttempt(
            self._resources.loop,
            self._resources.pool,
            self._dispatcher.attempts,
            request_id,
            payload,
            address,
            self._settings.connect_timeout_us,
            timeout_us,
        )

    def _build_limits(self) -> ConnectionLimits:
        sampled_memory = SampledMemory(
            self._resources,
            self._dispatcher.requests,
            self._dispatcher,
            self._servers.directory,
            self._peers.membership.memory_bytes,
        )
        limits = ConnectionLimits(
            self._resources.loop,
            self._resources.account,
            [request_class.priority_weight for request_class in self._settings.classes],
            max(self._max_descriptors - SPARE_DESCRIPTORS, self._max_descriptors // 2),
        )
        limits.evict_table_bytes = sampled_memory.evict_table_bytes
        return limits

    def _build_listener(self) -> Listener:
        config, resources = self._config, self._resources
        return Listener(
            resources.loop,
            resources.pool,
            self._dispatcher.requests,
            resources.log,
            config.listen_address,
            config.class_indexes,
            config.tenant_indexes,
            self._max_descriptors,
            self._limits,
            config.socket_fd,
        )

    def _build_shutdown(self) -> GracefulShutdown:
        return GracefulShutdown(
            self._resources.loop,
            self._dispatcher.requests,
            self._dispatcher.connections,
            self._listener,
            self._resources.pool,
            self._dispatcher.queue_event,
            self._settings,
            self._config.shares_socket,
        )

    def _build_lifecycle(self, operator_path: str, settings: Settings) -> ProxyLifecycle:
        operator_settings = OperatorSettings(
            self._resources.log,
            self._limits,
            self._listener,
            self._peers.membership,
            settings.log_as_json,
        )
        operator_settings.apply(settings)
        return ProxyLifecycle(
            self._resources,
            self._config,
            self._dispatcher,
            self._servers,
            self._listener,
            self._build_admin_api(),
            self._peers.membership,
            self._ejections,
            self._transfer,
            self._shutdown,
            ConfigurationReload(
                self._config, self._metrics, self._servers.endpoint_watch.change_address
            ),
            OperatorFileReload(
                operator_path, self._resources, self._config, self._metrics, operator_settings
            ),
        )

    def _build_admin_api(self) -> AdminHttpApi | None:
        config, resources = self._config, self._resources
        if config.admin_address is None:
            return None
        backend = ProxyAdminBackend(
            resources,
            self._metrics,
            self._servers.directory,
            self._limits,
            self._listener,
            self._ejections,
            self._dispatcher.count_unavailable_servers,
            self._peers.membership.report_json,
            self._shutdown.migrate_connections,
        )
        return AdminHttpApi(
            resources.loop,
            config.admin_address,
            backend,
            config.shares_socket,
            resources.admin_pool,
        )


def _build_resources(
    loop: EventLoop, config: ProxyConfiguration, operator_path: str, reading: Reading
) -> ProxyResources:
    try:
        return build_resources(loop, config.limits, reading.settings)
    except MemoryPlanError as error:
        line = reading.memory_position.line
        raise OperatorFileError(operator_path, line, str(error)) from None


def _limit_sticky_table(settings: RoutingSettings, resources: ProxyResources) -> RoutingSettings:
    tables_bytes = resources.account.cap_bytes(MemoryPurpose.TABLES)
    capacity = int(STICKY_TABLE_RATIO * tables_bytes) // item_costs.STICKY_ENTRY_BYTES
    return replace(settings, sticky_table_capacity=min(settings.sticky_table_capacity, capacity))


def _find_max_descriptors(config: ProxyConfiguration) -> int:
    """Return the number of descriptors available, without those reserved for the admin API."""
    granted = raise_descriptor_limit(config.limits.sockets)
    return granted - (ADMIN_DESCRIPTORS if config.admin_address is not None else 0)
