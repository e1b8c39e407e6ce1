"""Two toy upstream servers and a toy discovery service for trying the proxy on one machine.

While it runs, type ``drain s0``, ``ready s0`` or ``gone s0`` to change the published health.
"""

from __future__ import annotations

import contextlib
import json
import re
import selectors
import socket
import sys
import time
from dataclasses import dataclass

DISCOVERY = ("127.0.0.1", 8500)
SERVERS = {"s0": ("127.0.0.1", 9000), "s1": ("127.0.0.1", 9001)}
HEALTH_BY_COMMAND = {"drain": "draining", "ready": "ready", "gone": "gone"}
SERVER_CAPACITY = 20
RECEIVE_BYTES = 4096
POLL_INTERVAL_S = 0.05

_ENDPOINTS_REQUEST = re.compile(r"GET /v1/endpoints(?:\?from=(\d+)&hold_ms=(\d+))? ")


@dataclass(frozen=True, slots=True)
class Watch:
    """A pending request for a change of the endpoint list.

    Attributes:
        connection: Connection for the response.
        known_version: Version of the endpoint list that the client has.
        expires_at_s: Time at which it is answered even without a change.
    """

    connection: socket.socket
    known_version: int
    expires_at_s: float


class ToyDiscovery:
    """The endpoint list and the watches that wait for a change of it."""

    def __init__(self) -> None:
        self._version = 1
        self._health = dict.fromkeys(SERVERS, "ready")
        self._watches: list[Watch] = []

    def set_health(self, server_name: str, health: str) -> None:
        """Change and publish the health of a server."""
        self._health[server_name] = health
        self._version += 1
        print(f"discovery: {server_name} is {health}")

    def handle_line(self, connection: socket.socket, line: str) -> None:
        """Answer a request line, or hold it as a watch if nothing has changed; ignore headers."""
        request = _ENDPOINTS_REQUEST.match(line)
        if request is None:
            return
        known_version = int(request.group(1)) if request.group(1) is not None else None
        if known_version is None or known_version < self._version:
            self._send(connection, has_changed=True)
            return
        hold_s = int(request.group(2)) / 1000
        self._watches.append(Watch(connection, known_version, time.monotonic() + hold_s))

    def answer_watches(self) -> None:
        """Answer the watches that have expired or whose endpoint list has changed."""
        now_s = time.monotonic()
        for watch in list(self._watches):
            has_changed = watch.known_version < self._version
            if not has_changed and now_s < watch.expires_at_s:
                continue
            self._watches.remove(watch)
            if watch.connection.fileno() >= 0:
                self._send(watch.connection, has_changed=has_changed)

    def _send(self, connection: socket.socket, *, has_changed: bool) -> None:
        """Send the complete endpoint list, or an empty response if nothing has changed."""
        endpoints = self._describe_endpoints() if has_changed else []
        body = json.dumps({"seq": self._version, "whole": has_changed, "hosts": endpoints})
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        connection.sendall(f"{head}{body}".encode())

    def _describe_endpoints(self) -> list[dict[str, str]]:
        return [
            {
                "host": name,
                "dial": f"{host}:{port}",
                "site": "hall",
                "class": "toy",
                "health": self._health[name],
            }
            for name, (host, port) in SERVERS.items()
            if self._health[name] != "gone"
        ]


class ToyServer:
    """An upstream server that counts its connections and echoes messages.

    Attributes:
        name: Name in the endpoint list.
        connections: Number of established connections.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.connections = 0

    def handle_line(self, connection: ToyServerConnection, line: bytes) -> None:
        """Answer a request line, a health check, or a message on an established connection."""
        if line.startswith(b"OPEN "):
            connection.is_established = True
            self.connections += 1
            print(f"{self.name}: {line.decode()}")
            connection.send(f"UP {self.name}\r\n".encode())
        elif line == b"STATS":
            connection.send(f"PONG x0={self.connections / SERVER_CAPACITY}\r\n".encode())
        elif line == b"PING":
            connection.send(b"PONG\r\n")
        else:
            connection.send(b"echo " + line + b"\r\n")


class LineConnection:
    """A connection that passes received data on line by line."""

    def __init__(self, selector: selectors.BaseSelector, connection: socket.socket) -> None:
        self._selector = selector
        self._connection = connection
        self._buffer = b""
        selector.register(connection, selectors.EVENT_READ, self.on_readable)

    def on_readable(self) -> None:
        """Read the available data and handle each complete line."""
        try:
            data = self._connection.recv(RECEIVE_BYTES)
        except ConnectionError:
            data = b""
        self._buffer += data
        while b"\r\n" in self._buffer:
            line, self._buffer = self._buffer.split(b"\r\n", 1)
            self.on_line(line)
        if not data:
            self.on_end()
            self._selector.unregister(self._connection)
            self._connection.close()

    def on_line(self, line: bytes) -> None:
        """Handle a line without its line end."""
        raise NotImplementedError

    def on_end(self) -> None:
        """Handle the end of the connection."""


class ToyServerConnection(LineConnection):
    """A connection to an upstream server.

    Attributes:
        is_established: Whether its request line has been answered.
    """

    def __init__(
        self, selector: selectors.BaseSelector, connection: socket.socket, server: ToyServer
    ) -> None:
        super().__init__(selector, connection)
        self._server = server
        self.is_established = False

    def on_line(self, line: bytes) -> None:
        """Pass a line to the server."""
        self._server.handle_line(self, line)

    def on_end(self) -> None:
        """Remove the connection from the server's count if it was established."""
        if self.is_established:
            self._server.connections -= 1

    def send(self, data: bytes) -> None:
        """Send data to the proxy."""
        self._connection.sendall(data)


class ToyDiscoveryConnection(LineConnection):
    """A connection to the discovery service."""

    def __init__(
        self, selector: selectors.BaseSelector, connection: socket.socket, discovery: ToyDiscovery
    ) -> None:
        super().__init__(selector, connection)
        self._discovery = discovery

    def on_line(self, line: bytes) -> None:
        """Pass a line to discovery."""
        self._discovery.handle_line(self._connection, line.decode())


class Toys:
    """The toy servers, the toy discovery and the command input in one event loop."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._discovery = ToyDiscovery()

    def listen(self) -> None:
        """Listen for connections to discovery and to the servers."""
        listener = socket.create_server(DISCOVERY)
        self._register(listener, lambda: self._accept_discovery(listener))
        for name, address in SERVERS.items():
            self._listen_for_server(ToyServer(name), address)

    def _listen_for_server(self, server: ToyServer, address: tuple[str, int]) -> None:
        listener = socket.create_server(address)
        self._register(listener, lambda: self._accept_server(listener, server))

    def _register(self, listener: socket.socket, callback: object) -> None:
        self._selector.register(listener, selectors.EVENT_READ, callback)

    def _accept_server(self, listener: socket.socket, server: ToyServer) -> None:
        connection, _ = listener.accept()
        ToyServerConnection(self._selector, connection, server)

    def _accept_discovery(self, listener: socket.socket) -> None:
        connection, _ = listener.accept()
        ToyDiscoveryConnection(self._selector, connection, self._discovery)

    def watch_commands(self) -> bool:
        """Watch standard input for commands; return whether it can be watched."""
        try:
            self._selector.register(sys.stdin, selectors.EVENT_READ, self._on_command)
        except (OSError, ValueError):  # selectors cannot watch files, /dev/null or a closed stdin
            return False
        return True

    def _on_command(self) -> None:
        command, _, server_name = sys.stdin.readline().strip().partition(" ")
        if command in HEALTH_BY_COMMAND and server_name in SERVERS:
            self._discovery.set_health(server_name, HEALTH_BY_COMMAND[command])
        elif not command:
            self._selector.unregister(sys.stdin)

    def run(self) -> None:
        """Serve until interrupted."""
        while True:
            for key, _ in self._selector.select(POLL_INTERVAL_S):
                key.data()
            self._discovery.answer_watches()


def main() -> None:
    """Start the toys and serve until interrupted."""
    toys = Toys()
    toys.listen()
    if toys.watch_commands():
        hint = "type 'drain s0' to see its clients migrate"
    else:
        hint = "standard input cannot be watched for commands, so the servers stay ready"
    print(f"toy servers s0 and s1 and discovery are up; {hint}", flush=True)
    toys.run()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
