"""Process pause: input that arrived while the process was stopped is applied in a safe order."""

from __future__ import annotations

import json
import signal
import time

import pytest

from larchhaven.gossip.codec import LOAD_REPORTS
from larchhaven.gossip.codec import decode as decode_message
from larchhaven.net.control.event_queue import order_events_after_pause
from larchhaven.routing.events import (
    EndpointListKind,
    EndpointListUpdate,
    GossipReceived,
    ProxyDraining,
)
from tests.proxy_harness import (
    LineConnection,
    ProxyProcess,
    answer_watch,
    make_endpoint,
    make_request_line,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_endpoint_list_is_received_first_after_a_pause(proxy: ProxyProcess) -> None:
    """An endpoint list that arrived during a pause is applied before requests that arrived then.

    While the process is stopped, clients send requests, then discovery reports that a server
    drains, and the drain grace elapses. If the requests were handled first, some would be sent to
    the draining server.
    """
    watch = LineConnection(proxy.discovery.accept()[0])
    clients = [proxy.connect_client() for _ in range(12)]
    # Established last: the other clients are accepted by now, so one iteration reads their lines.
    proxy.establish(f"{REQUEST_FIELDS},at=s1")
    proxy.process.send_signal(signal.SIGSTOP)
    for client in clients:
        client.send_line(make_request_line(REQUEST_FIELDS))
    endpoints = [
        make_endpoint("s0", proxy.servers[0], "draining"),
        make_endpoint("s1", proxy.servers[1]),
    ]
    # Enough entries that reading the list takes several iterations.
    endpoints += [make_endpoint(f"x{i}", proxy.servers[1], "gone") for i in range(300)]
    answer_watch(watch, json.dumps({"seq": 9, "whole": False, "hosts": endpoints}))
    grace_s = proxy.configuration["settings"]["contract"]["stop_sending_within"] / 1e6
    time.sleep(grace_s + 0.5)
    proxy.process.send_signal(signal.SIGCONT)
    for _ in clients:
        server = proxy.accept(*proxy.servers)
        assert server.sock.getsockname() == proxy.servers[1].getsockname()
        server.send_line("UP r1")
    assert all(client.read_line() == "UP r1" for client in clients)
    assert "process paused, resumed: paused_s=" in proxy.read_log_line()


def test_load_reports_received_during_a_pause_are_discarded() -> None:
    list_update = EndpointListUpdate(EndpointListKind.FAILED)
    load_reports = GossipReceived(1, decode_message(LOAD_REPORTS + b"abc"))
    other_gossip = GossipReceived(1, decode_message(b"Habcdef"))
    assert order_events_after_pause(
        [load_reports, ProxyDraining(0), other_gossip, list_update]
    ) == [
        list_update,
        ProxyDraining(0),
        other_gossip,
    ]
