"""Runs the program as a process; tests act as its clients, upstream servers and discovery."""

from __future__ import annotations

import contextlib
import copy
import http.client
import itertools
import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any

from larchhaven.testbed.free_ports import find_free_port

TIMEOUT_S = 20.0  # a test that waits longer fails; no test measures durations with it
_request_numbers = itertools.count()
ROOT = Path(__file__).parent.parent

SETTINGS: dict[str, Any] = {
    "contract": {
        "answer_slack": 20000,
        "ask_within": 1000000,
        "cold": 7100000,
        "cold_from": 0.33,
        "stop_sending_within": 3000000,
        "tip_after": 1500000,
        "tip_multiple": 2.5,
    },
    "discovery": "automatic",
    "family": "conn",
    "index": 0,
    "instances": 1,
    "kinds": ["k"],
    "tick": 5000,
    "family_info": {
        "message_aim": [100000.0, None],
        "mode": "pass",
        "park": 6000000,
        "tells_delay": True,
        "tells_load": True,
        "tenant_quota_connections": [],
        "groups": True,
        "hint": "",
    },
    "parties": [],
    "prices": {"moves": 0.016, "probe": 0.002},
    "weights": "nominal",
    "zone": 0,
    "policy_limits": {
        "cancel": True,
        "connect_timeout": 250000,
        "max_retry_after": 1500000,
        "most_tries": 3,
        "parallel_tries": False,
        "probes": False,
        "retry_after": False,
        "may_tell": True,
    },
    "report": {"fields": ["x0"], "how": "pull"},
    "stages": ["s"],
    "zones": ["here"],
    "services": [
        {
            "aim": 500000,
            "deadline": 2000000,
            "name": name,
            "repeat": "idempotent",
            "stream": True,
            "group": "all",
            "window": 5000000,
            "credit": 1.0,
            "late_worth": 0.0,
        }
        for name in ("chat", "exam")
    ],
}


def open_listener() -> socket.socket:
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(TIMEOUT_S)
    return listener


def format_address(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


class LineConnection:
    """One end of a connection, read and written line by line."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(TIMEOUT_S)
        self.file = sock.makefile("rb")

    def send_line(self, text: str) -> None:
        self.sock.sendall(text.encode() + b"\r\n")

    def read_line(self) -> str:
        """Return the next line without its line end; empty at the end of the connection."""
        line = self.file.readline()
        assert not line or line.endswith(b"\r\n")
        return line.decode().removesuffix("\r\n")

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        self.file.close()
        self.sock.close()


def make_endpoint(
    name: str, sock: socket.socket, health: str = "ready", born_ms: int = 0
) -> dict[str, Any]:
    return {
        "host": name,
        "dial": format_address(sock),
        "site": "here",
        "class": "k",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


class ProxyProcess:
    """A proxy process, with the listeners of its upstream servers and of discovery."""

    def __init__(
        self,
        folder: Path,
        server_count: int = 2,
        max_sockets: int = 1024,
        inherits_socket: bool = False,
        **settings: Any,
    ) -> None:
        self.folder = folder
        # The listening socket for clients, which the platform passes to the process.
        self.inherited_socket = open_listener() if inherits_socket else None
        self.servers = [open_listener() for _ in range(server_count)]
        self.discovery = open_listener()
        self.configuration = self.make_configuration(**settings)
        self.configuration["limits"]["sockets"] = max_sockets
        if "instances" in settings:
            # The test acts as the second proxy; the first one's port stays free until it starts.
            self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.peer.bind(("127.0.0.1", 0))
            self.peer.settimeout(TIMEOUT_S)
            own = f"127.0.0.1:{find_free_port()}"
            self.configuration |= {"peer_listen": own, "peers": [own, format_address(self.peer)]}
        self.path = folder / "config.json"
        self.start()

    def start_successor(self) -> ProxyProcess:
        """Start a successor beside this process, with the same servers, discovery and files."""
        successor = copy.copy(self)
        successor.start()
        return successor

    def start(self) -> None:
        self.path.write_text(json.dumps(self.configuration))
        environment = {**os.environ, "EDGE_CONFIG": str(self.path), "TMPDIR": str(self.folder)}
        operator = self.folder / "operator.textproto"
        if operator.exists():
            environment["EDGE_OPERATOR"] = str(operator)
        descriptors = [self.inherited_socket.fileno()] if self.inherited_socket is not None else []
        if descriptors:
            environment["EDGE_SOCKET_FD"] = str(descriptors[0])
        self.process = subprocess.Popen(
            [sys.executable, "-m", "larchhaven"],
            cwd=ROOT,
            env=environment,
            pass_fds=descriptors,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert self.process.stderr is not None
        found: dict[str, tuple[str, int]] = {}
        while "listens" not in found:
            line = self.process.stderr.readline()
            assert line, "the proxy ended before it listened"
            if match := re.search(r"(listens|management) at ([\d.]+):(\d+)", line):
                found[match.group(1)] = match.group(2), int(match.group(3))
        self.address, self.admin_address = found["listens"], found["management"]

    def make_configuration(self, **settings: Any) -> dict[str, Any]:
        merged = copy.deepcopy(SETTINGS)
        for name, value in settings.items():
            merged[name] = {**merged[name], **value} if isinstance(value, dict) else value
        endpoints = [make_endpoint(f"s{i}", sock) for i, sock in enumerate(self.servers)]
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "discovery": format_address(self.discovery),
            "seed": "8c1f30d2",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": merged,
            "known": {"seq": 7, "whole": True, "hosts": endpoints},
        }

    def reload(self, text: str) -> None:
        """Write a configuration and send SIGHUP."""
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def read_log_line(self) -> str:
        """Wait for the next line of the log and return it."""
        assert self.process.stderr is not None
        return str(self.process.stderr.readline())

    def call(self, method: str, path: str) -> tuple[int, Any]:
        """Send a call to the admin API; return the status and the decoded body."""
        with contextlib.closing(
            http.client.HTTPConnection(*self.admin_address, timeout=TIMEOUT_S)
        ) as connection:
            connection.request(method, path)
            response = connection.getresponse()
            return response.status, json.loads(response.read())

    def connect_client(self, text: str | None = None) -> LineConnection:
        connection = LineConnection(socket.create_connection(self.address))
        if text is not None:
            connection.send_line(text)
        return connection

    def accept(self, *listeners: socket.socket) -> LineConnection:
        """Accept the next connection at any of the listeners, by default those of the servers."""
        ready, _, _ = select.select(listeners or self.servers, [], [], TIMEOUT_S)
        assert ready, f"no connection within {TIMEOUT_S} s"
        return LineConnection(ready[0].accept()[0])

    def establish(
        self, fields: str = "c=chat,d=2000,g=ab"
    ) -> tuple[LineConnection, LineConnection]:
        """Establish a connection; return the client's and the server's end."""
        client = self.connect_client(make_request_line(fields))
        server = self.accept()
        assert server.read_line().startswith("OPEN ")
        server.send_line("UP r1")
        assert client.read_line() == "UP r1"
        return client, server

    def close(self) -> str:
        """Kill the process, close the listeners and return the rest of the log."""
        self.process.kill()
        _, log = self.process.communicate()
        for sock in (*self.servers, self.discovery):
            sock.close()
        return str(log)


def answer_watch(connection: LineConnection, body: str, status: str = "200 OK") -> str:
    """Answer the next request to discovery; return its request line."""
    request = connection.read_line()
    while connection.read_line():
        pass
    connection.sock.sendall(
        f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    return request


def make_request_line(fields: str) -> str:
    """Return a request line with a unique request id."""
    return f"OPEN 9b1f03aa{next(_request_numbers):08x} 7f3a9c21e0b4d655 {fields}"
