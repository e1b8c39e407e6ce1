"""The whole proxy: every part, joined to the others, and its start and stop."""

from __future__ import annotations

import logging
import os
import resource
import signal
import socket
from collections.abc import Sequence
from dataclasses import replace

import msgspec

from larchhaven.gossip import codec as gossip_codec
from larchhaven.gossip.shared_health_checks import uses_shared_checks
from larchhaven.memory import item_costs, plan
from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.admin.administrative_ejection import (
    AdministrativeEjections,
    EjectionNotSavedError,
)
from larchhaven.net.admin.http_api import ADMIN_DESCRIPTORS, AdminHttpApi, EjectionOutcome
from larchhaven.net.admin.memory_accounting import (
    DescriptorState,
    MemoryAccounting,
    read_resident_bytes,
)
from larchhaven.net.admin.metrics import Metrics
from larchhaven.net.admin.operator_file import OperatorFileReader
from larchhaven.net.configuration import (
    Config,
    ConfigurationError,
    OperatorFileError,
    load_configuration,
)
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.dispatcher import Dispatcher
from larchhaven.net.control.endpoint_directory import (
    MAX_REMEMBERED_SERVERS,
    EndpointDirectory,
    EndpointListMessage,
)
from larchhaven.net.control.endpoint_watch import EndpointWatch
from larchhaven.net.control.interfaces import Transport
from larchhaven.net.control.membership_switch import MembershipSwitch
from larchhaven.net.control.peer_socket import PeerSocket
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core import log_setup as logs
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import MAX_REMEMBERED_EVENTS, RateLimitedLog
from larchhaven.net.core.stream import Stream
from larchhaven.net.graceful_shutdown import MIGRATION_DELAY_US, GracefulShutdown
from larchhaven.net.hot_restart import HotRestart
from larchhaven.net.hot_restart_messages import (
    PROTOCOL_VERSION,
    ConnectionTransfer,
    ReportRecord,
    ServerReport,
    SharedState,
    identity_hash,
)
from larchhaven.net.text_protocol.connection_relay import Relay
from larchhaven.net.text_protocol.health_check_connection import Probes
from larchhaven.net.text_protocol.listener import SPARE_DESCRIPTORS, Listener
from larchhaven.net.text_protocol.upstream_attempt import TextExecution
from larchhaven.operator.settings import Complaint, Reading, Settings
from larchhaven.routing.events import (
    AttemptResult,
    EndpointListKind,
    EndpointListUpdate,
    GossipReceived,
    HealthCheckCompleted,
    LoadReport,
    ProxyDraining,
)
from larchhaven.routing.gossip_messages import GossipMessage, is_peer_message

# The parts of the memory for tables that what only helps may fill: it is forgotten, the oldest first.
HOLDERS_SHARE = 0.25
LISTED_SHARE = 0.10
# Suspensions that another process was told are heeded within this time.
SUSPENSIONS_US = 100_000
# After a call to drain the connections that must go are gone by then.
DRAIN_US = 4_000_000
# Beside another process: a connection that could not be passed on is tried again after this time.
PASS_AGAIN_US = 5_000

# Complaints about one reading that the log is told of.
COMPLAINTS_MOST = 20

_log = logging.getLogger("larchhaven")


def _wanted(own: Settings) -> dict[MemoryPurpose, int]:
    return {purpose: own.caps[purpose.key] for purpose in MemoryPurpose if purpose.key in own.caps}


class Node:
    """One proxy."""

    def __init__(self, config: Config, operator: str = "", reading: Reading | None = None) -> None:
        self._config = config
        self._logs_json = reading is not None and reading.settings.log_json
        own = reading.settings if reading is not None else Settings()
        settings = config.settings
        self._loop = loop = EventLoop()
        # Before the listener is made, which takes clients from then on: a signal that comes during the start
        # is heeded in the first turn. One that comes earlier finds nothing taken, and ends the process.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        grant = int(config.limits.memory_mb * plan.BYTES_PER_MB)
        if own.membership:
            # Before the program's own size is taken: what is loaded for it is not for clients to use.
            import larchhaven.net.control.membership_transport  # noqa: F401
        self._start = read_resident_bytes()
        try:
            caps = plan.make_plan(grant, self._start, config.limits.sockets, _wanted(own))
        except plan.MemoryPlanError as error:
            line = reading.memory_at[0] if reading is not None else 0
            raise OperatorFileError(operator, line, str(error)) from None
        self._account = account = MemoryAccount(caps.caps)
        self._notices = notices = RateLimitedLog(
            loop,
            min(
                MAX_REMEMBERED_EVENTS,
                account.cap_bytes(MemoryPurpose.LOG) // item_costs.LOG_EVENT_BYTES,
            ),
        )
        self._pool = pool = BufferPool(account, socket_buffer_bytes=caps.socket_buffer_bytes)
        aside = BufferPool(account, MemoryPurpose.MANAGEMENT, MemoryPurpose.MANAGEMENT)
        folder = os.environ.get("TMPDIR", "")
        self._accounting = MemoryAccounting(loop, notices, account, caps, pool, folder)
        tables = account.cap_bytes(MemoryPurpose.TABLES)
        settings = replace(
            settings,
            sticky_table_capacity=min(
                settings.sticky_table_capacity,
                int(HOLDERS_SHARE * tables) // item_costs.STICKY_ENTRY_BYTES,
            ),
        )
        self._figures = Metrics.for_classes(list(config.classes))
        self._dispatcher = dispatcher = Dispatcher(
            loop, notices, settings, config.seed, self._figures, account
        )
        self._directory = EndpointDirectory(
            config.zones,
            config.kinds,
            min(
                MAX_REMEMBERED_SERVERS,
                int(LISTED_SHARE * tables) // item_costs.REMEMBERED_SERVER_BYTES,
            ),
        )
        shared = config.socket_fd is not None  # with another process, during an upgrade
        self._ejections = AdministrativeEjections(
            folder, self._on_suspended, self._accounting.can_write_file
        )
        self._reports: dict[str, tuple[int, LoadReport]] = {}  # the latest, and when it came
        self._probes = Probes(
            loop,
            BufferPool(account, MemoryPurpose.PROBES, MemoryPurpose.PROBES),
            settings.connect_timeout_us,
            self._on_probe,
        )
        self._directory.on_server_removed = self._forget
        self._endpoint_watch = EndpointWatch(
            loop, aside, notices, config.discovery, config.known.version, self._on_list
        )
        self._peers: PeerSocket | None = None
        if config.peer_listen is not None:
            self._peers = PeerSocket(
                loop,
                notices,
                config.peer_listen,
                config.peers,
                config.peers_all,
                self._on_peer,
                shared,
                self._count_strange,
            )
        self._hot_restart = HotRestart(loop, notices, folder if shared else "", self, account)
        self._members = MembershipSwitch(
            loop, config, self._tell_member, uses_shared_checks(settings)
        )

        def begin(
            token: int, first_line: bytes, address: tuple[str, int], wait_us: int
        ) -> TextExecution:
            return TextExecution(
                loop,
                pool,
                dispatcher.attempts,
                token,
                first_line,
                address,
                settings.connect_timeout_us,
                wait_us,
            )

        self._members.on_present_changed = dispatcher.set_live_peers
        dispatcher.attach_transport(
            Transport(
                endpoints=self._directory,
                start_attempt=begin,
                check_health=self._probes.probe,
                close_idle_connections=self._probes.drop,
                set_watch_enabled=self._endpoint_watch.set_enabled,
                poll_endpoints=self._endpoint_watch.poll_complete_list,
                send_gossip=self._tell,
                announce_identity=self._hot_restart.announce_identity,
                is_open_elsewhere=self._hot_restart.is_open_elsewhere,
            )
        )
        descriptors = self._descriptors() - (ADMIN_DESCRIPTORS if config.mgmt is not None else 0)
        most = max(descriptors - SPARE_DESCRIPTORS, descriptors // 2)
        self._rooms = ConnectionLimits(
            loop, account, [c.priority_weight for c in settings.classes], most
        )
        self._rooms.evict_table_bytes = self._spare_tables
        self._listener = Listener(
            loop,
            pool,
            dispatcher.requests,
            notices,
            config.listen,
            config.classes,
            config.tenants,
            descriptors,
            self._rooms,
            config.socket_fd,
        )
        self._management: AdminHttpApi | None = None
        if config.mgmt is not None:
            self._management = AdminHttpApi(loop, config.mgmt, self, shared, aside)
        self._count_parts()
        self._operator_path = operator
        self._operator = OperatorFileReader(loop, operator, self._on_operator)
        self._apply(own)
        loop.on_iteration_end = self._end_turn
        loop.on_process_resumed = self._on_woke
        self._shutdown = GracefulShutdown(loop, dispatcher, self._listener, pool, settings, shared)

    def run(self) -> None:
        """Serve until told to stop."""
        known = self._directory.apply_list(
            EndpointListKind.CACHED, self._config.known, self._loop.now_us
        )
        self._dispatcher.queue_event(known)
        self._look_at_ejections()
        if not self._config.settings.subscribes_to_endpoints:
            # The simulator's "automatic" sends news unasked; over HTTP nothing comes without a watch.
            self._endpoint_watch.start_with_poll()
            self._dispatcher.wait_for_endpoint_list()
        if self._config.socket_fd is not None:
            self._hot_restart.start(self._open)
        else:
            self._open()
        self._dispatcher.dispatch_events()
        self._loop.run()
        _log.info("stopped")

    def _count_parts(self) -> None:
        """Say how what has no owner to charge it is counted."""
        dispatcher, directory, loop = self._dispatcher, self._directory, self._loop
        self._accounting.sampled_sources = {
            (MemoryPurpose.TABLES, "first use"): lambda: (
                item_costs.FIRST_REQUEST_BYTES if dispatcher.requests.last_arrival_us else 0
            ),
            # Beside those that commands are charged with.
            (MemoryPurpose.TABLES, "deadlines"): lambda: (
                item_costs.TIMER_BYTES
                * max(
                    loop.timer_count()
                    - item_costs.TIMERS_PER_REQUEST * dispatcher.requests.count_requests(),
                    0,
                )
            ),
            (MemoryPurpose.TABLES, "servers"): lambda: (
                directory.count_listed() * item_costs.SERVER_BYTES
            ),
            (MemoryPurpose.TABLES, "hosts listed"): lambda: (
                directory.count_remembered() * item_costs.REMEMBERED_SERVER_BYTES
            ),
            (MemoryPurpose.TABLES, "holders"): lambda: (
                dispatcher.count_sticky_entries() * item_costs.STICKY_ENTRY_BYTES
            ),
            (MemoryPurpose.PEERS, "members"): self._members.memory_bytes,
            (MemoryPurpose.LOG, "notices"): lambda: (
                self._notices.event_count() * item_costs.LOG_EVENT_BYTES
            ),
        }

    def _spare_tables(self, size: int) -> None:
        self._dispatcher.evict_sticky_entries(size // item_costs.STICKY_ENTRY_BYTES + 1)
        held = self._dispatcher.count_sticky_entries() * item_costs.STICKY_ENTRY_BYTES
        self._account.set_sampled_bytes(MemoryPurpose.TABLES, "holders", held)

    def _forget(self, host: str) -> None:
        """Forget all but the decisions about an instance that is gone; the decision module does by itself."""
        self._probes.drop(host)
        self._dispatcher.forget_server(host)
        self._reports.pop(host, None)

    def _open(self) -> None:
        self._accounting.start()
        self._listener.open()
        self._members.start()
        host, port = self._listener.address
        if self._management is not None:
            _log.info("management at %s:%d", *self._management.address)
        _log.info("%s listens at %s:%d", self._config.name or "larchhaven", host, port)

    def _end_turn(self) -> None:
        self._dispatcher.dispatch_events()
        if self._shutdown.is_shutting_down and self._hot_restart.has_successor:
            self._pass_on()
        if self._members.is_handed_over and not self._hot_restart.has_successor:
            self._members.resume()

    def _on_woke(self, late_us: int) -> None:
        """Be careful after a sleep: the list is heard first, and the membership doubts what it knew."""
        self._notices.warning("process paused, resumed", f"paused_s={late_us / 1e6:.1f}")
        self._dispatcher.on_process_resumed()

    def _descriptors(self) -> int:
        """Take what the configuration grants, as far as the system lets us."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = self._config.limits.sockets
        if hard != resource.RLIM_INFINITY:
            wanted = min(wanted, hard)
        if soft != resource.RLIM_INFINITY and soft < wanted:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        return wanted

    # News for the decision module

    def _on_list(self, told: EndpointListMessage | None) -> None:
        if told is None:
            self._dispatcher.receive_endpoint_list(EndpointListUpdate(EndpointListKind.FAILED))
            return
        kind = EndpointListKind.COMPLETE if told.is_complete else EndpointListKind.CHANGES
        # What comes late has counted as told before: the drain rule's time runs from then.
        self._dispatcher.receive_endpoint_list(
            self._directory.apply_list(
                kind, told, self._loop.now_us - self._endpoint_watch.notification_delay_us
            )
        )

    def _on_probe(
        self, host: str, result: AttemptResult, latency_us: int, report: LoadReport | None
    ) -> None:
        if report is not None:
            self._reports[host] = (self._loop.now_us, report)
        self._dispatcher.queue_event(HealthCheckCompleted(host, result, latency_us, report))

    def _on_peer(self, sender: int, data: bytes) -> None:
        if self._members.handle_datagram(sender, data):
            return
        message = gossip_codec.decode(data)
        if is_peer_message(message):
            self._dispatcher.queue_event(GossipReceived(sender, message))
        else:
            self._count_strange()

    def _count_strange(self) -> None:
        self._figures.invalid_peer_messages += 1

    def _tell(self, peer: int | None, message: GossipMessage) -> None:
        """Pass on a message to other proxies, and to the other process of an upgrade: it has our number."""
        data = gossip_codec.encode(message)
        if self._peers is not None and peer != self._config.settings.proxy_index:
            self._peers.send(peer, data)
        self._hot_restart.forward_gossip(data)

    def _tell_member(self, peer: int, data: bytes) -> None:
        if self._peers is not None:
            self._peers.send(peer, data)

    # The other process of an upgrade

    def build_shared_state(self) -> SharedState:
        """Return what the younger process must know; suspensions are in their file."""
        self.on_gossip_forwarded(
            gossip_codec.PROXY_STARTED
        )  # our decision module tells the other what it has learnt
        reports = [
            ServerReport(host, at, ReportRecord.from_report(report))
            for host, (at, report) in self._reports.items()
        ]
        identities = [
            identity_hash(identity) for identity in self._dispatcher.requests.list_identities()
        ]
        return SharedState(PROTOCOL_VERSION, reports, identities, self._members.hand_over())

    def on_shared_state(self, state: SharedState) -> None:
        """Take what the older process knows: its reports are as old as they are."""
        self._members.take_over(state.incarnation)
        for shared in state.reports:
            age = max(self._loop.now_us - shared.received_at_us, 0)
            self._dispatcher.queue_event(
                HealthCheckCompleted(
                    shared.server_id, AttemptResult.OK, age, shared.report.to_report()
                )
            )

    def on_gossip_forwarded(self, data: bytes) -> None:
        """Take a message of the other process's decision module."""
        own = self._config.settings.proxy_index
        self._dispatcher.queue_event(GossipReceived(own, gossip_codec.decode(data)))

    def on_connection_transferred(
        self, transfer: ConnectionTransfer, descriptors: Sequence[int]
    ) -> None:
        """Go on with a connection that the older process held."""
        loop, pool, dispatcher = self._loop, self._pool, self._dispatcher
        client, instance = (
            Stream(loop, pool, socket.socket(fileno=number)) for number in descriptors
        )
        spec = RequestSpec(
            payload=b"",
            class_index=min(max(transfer.request_class, 0), len(self._config.settings.classes) - 1),
            budget_us=0,
            identity=transfer.identity,
            affinity_key=transfer.key,
            affinity_group=transfer.group,
            load=transfer.load,
            tenant_index=transfer.tenant,
        )
        dispatcher.connections.adopt_connection(
            spec,
            transfer.server_id,
            lambda token: Relay(
                loop, client, instance, dispatcher.connections, token, transfer.relay
            ),
        )

    def _pass_on(self) -> None:
        """Pass on what stands, as far as it goes; what comes up meanwhile follows."""
        for request in self._dispatcher.connections.list_connections():
            relay, spec = request.connection, request.spec
            state = relay.state() if isinstance(relay, Relay) else None
            if state is None or not isinstance(relay, Relay):
                continue  # it is about to end
            transfer = ConnectionTransfer(
                identity=spec.identity,
                request_class=spec.class_index,
                server_id=request.server_id,
                relay=state,
                key=spec.affinity_key,
                group=spec.affinity_group,
                load=request.load,
                tenant=spec.tenant_index,
            )
            if not self._hot_restart.transfer_connection(transfer, relay.descriptors()):
                self._loop.call_later(PASS_AGAIN_US, lambda: None)  # the next turn tries again
                return
            self._dispatcher.connections.release_connection(request.request_id)

    # What operators ask

    def is_ready(self) -> bool:
        """Tell whether this process takes clients: it accepts and knows instances to send them to."""
        return self._listener.accepting and self._directory.count_listed() > 0

    def encode_metrics(self) -> bytes:
        """Return the figures as JSON."""
        self._figures.listed_servers = self._directory.count_listed()
        self._figures.unavailable_servers = self._dispatcher.count_unavailable_servers()
        return self._figures.encode()

    def encode_memory(self) -> bytes:
        """Return the memory account as JSON."""
        rooms = self._rooms
        descriptors = DescriptorState(
            rooms.max_descriptors, self._loop.socket_count(), rooms.descriptor_rejections
        )
        return msgspec.json.encode(self._accounting.state(descriptors))

    def encode_members(self) -> bytes:
        """Return what is known of the other proxies, as JSON."""
        return self._members.report_json()

    def set_ejected(self, server_id: str, is_ejected: bool) -> EjectionOutcome:
        """Take an instance out, or let it serve again; the yes comes when it is saved and heeded."""
        if not self._directory.was_listed(server_id) and server_id not in self._ejections:
            return EjectionOutcome.UNKNOWN_SERVER
        try:
            self._ejections.set_ejected(server_id, is_ejected)
        except EjectionNotSavedError as error:
            self._notices.warning("server ejection not saved", error.reason)
            return EjectionOutcome.NOT_SAVED
        return EjectionOutcome.APPLIED

    def _on_suspended(self, host: str, on: bool) -> None:
        _log.info("%s: %r", "server ejected by operator" if on else "server ejection removed", host)
        self._dispatcher.set_administrative_ejection(host, on)

    def _look_at_ejections(self) -> None:
        """Heed what the other process of an upgrade was told."""
        self._ejections.refresh()
        if self._config.socket_fd is not None:
            self._loop.call_later(SUSPENSIONS_US, self._look_at_ejections)

    def set_draining(self, is_draining: bool) -> None:
        """Send clients away, or take them again; where packets pass through, what stands stays."""
        if self._listener.away == is_draining:
            return
        self._listener.away = is_draining
        _log.info("proxy draining" if is_draining else "proxy activated")
        if not self._config.settings.pass_through and not self._shutdown.is_shutting_down:
            self._dispatcher.queue_event(ProxyDraining(DRAIN_US if is_draining else 0))

    # A new configuration

    def _on_reload(self) -> None:
        """Read the configuration again and follow discovery to where it is now; read the operators' file.

        Everything else stands: connections, the list, what is known of loads. What else has changed in the
        file counts from the next start on. A file that cannot be used changes nothing.
        """
        if self._operator_path:
            self._operator.read(
                int(self._config.limits.memory_mb * plan.BYTES_PER_MB) - read_resident_bytes()
            )
        try:
            config = load_configuration(os.environ)
        except ConfigurationError as error:
            self._figures.config_reload_errors += 1
            _log.warning("configuration not reloaded: %s", error)
            return
        self._figures.config_reloads += 1
        host, port = config.discovery
        rest = replace(config, discovery=self._config.discovery, known=self._config.known)
        more = "" if rest == self._config else "; other changes take effect at the next start"
        _log.info("configuration reloaded: discovery is at %s:%d%s", host, port, more)
        if config.discovery != self._config.discovery:
            self._config = replace(self._config, discovery=config.discovery)
            self._endpoint_watch.change_address(config.discovery)

    def _on_operator(self, reading: Reading) -> None:
        """Take the operators' file as a whole, or nothing of it."""
        path = self._operator_path
        complaints = [complaint.at(path) for complaint in reading.complaints]
        if not complaints:
            grant, sockets = (
                int(self._config.limits.memory_mb * plan.BYTES_PER_MB),
                self._config.limits.sockets,
            )
            try:
                caps = plan.make_plan(grant, self._start, sockets, _wanted(reading.settings))
            except plan.MemoryPlanError as error:
                complaints = [Complaint(*reading.memory_at, str(error)).at(path)]
        if complaints:
            self._figures.config_reload_errors += 1
            for complaint in complaints[:COMPLAINTS_MOST]:
                _log.warning("operators' file not reloaded: %s", complaint)
            return
        self._figures.config_reloads += 1
        self._accounting.apply_plan(caps)
        self._apply(reading.settings)
        _log.info("operators' file reloaded: %s", path)

    def _apply(self, own: Settings) -> None:
        """Put operators' settings to use, the caps excepted."""
        self._rooms.admission.reserve_ratio = own.reserve_share
        self._listener.unread_us = own.unread_us
        self._notices.repeat_interval_us = own.quiet_us
        self._members.apply_settings(own)
        if own.log_json != self._logs_json:
            logs.configure_logging(own.log_json)
            self._logs_json = own.log_json

    # The end

    def _on_stop(self) -> None:
        """Begin the shutdown; a second signal hurries it.

        Where packets pass through, standing connections go on until the process ends: others take them over
        then. Elsewhere they would be lost, and the decision module moves them.
        """
        if self._shutdown.is_shutting_down:
            self._shutdown.finish_now()
            return
        _log.info("shutdown started")
        self._members.announce_leave()
        self._shutdown.begin(MIGRATION_DELAY_US if self._hot_restart.has_successor else 0)
