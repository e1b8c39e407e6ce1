"""Two toy exam servers and a toy discovery on this machine, for trying the proxy.

Start it, then type ``drain s0``, ``ready s0`` or ``gone s0`` to change what discovery tells.
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
STATES = {"drain": "draining", "ready": "ready", "gone": "gone"}


@dataclass
class ListVersion:
    """The version of the endpoint list, one more with each change."""

    number: int = 1


selector = selectors.DefaultSelector()
health = dict.fromkeys(SERVERS, "ready")
list_version = ListVersion()
watches: list[
    tuple[socket.socket, int, float]
] = []  # who waits, for news after what, and until when
served = dict.fromkeys(SERVERS, 0)


class Toy:
    """One connection to an exam server, or to discovery if it has no server's name."""

    def __init__(self, sock: socket.socket, server: str | None) -> None:
        self.sock = sock
        self.server = server
        self.text = b""
        self.up = False
        selector.register(sock, selectors.EVENT_READ, self.on_bytes)

    def on_bytes(self) -> None:
        """Read what came, and answer every whole line of it."""
        try:
            data = self.sock.recv(4096)
        except ConnectionError:
            data = b""
        self.text += data
        while b"\r\n" in self.text:
            line, self.text = self.text.split(b"\r\n", 1)
            if self.server is None:
                on_call(self.sock, line.decode())
            else:
                self.on_line(self.server, line)
        if not data:
            if self.up and self.server is not None:
                served[self.server] -= 1
            selector.unregister(self.sock)
            self.sock.close()

    def on_line(self, server: str, line: bytes) -> None:
        """Answer as an exam server does: a first line, a probe, or a line of a connection that stands."""
        if line.startswith(b"OPEN "):
            self.up = True
            served[server] += 1
            print(f"{server}: {line.decode()}")
            self.sock.sendall(f"UP {server}\r\n".encode())
        elif line == b"STATS":
            self.sock.sendall(f"PONG x0={served[server] / 20}\r\n".encode())
        elif line == b"PING":
            self.sock.sendall(b"PONG\r\n")
        else:
            self.sock.sendall(b"echo " + line + b"\r\n")


def on_call(sock: socket.socket, line: str) -> None:
    """Answer a call to discovery, at once or, for a watch without news, later."""
    call = re.match(r"GET /v1/endpoints(?:\?from=(\d+)&hold_ms=(\d+))? ", line)
    if call is not None and call.group(1) is not None and int(call.group(1)) >= list_version.number:
        watches.append((sock, int(call.group(1)), time.monotonic() + int(call.group(2)) / 1000))
    elif call is not None:
        tell(sock, whole=True)


def tell(sock: socket.socket, whole: bool) -> None:
    """Send the whole list, or that nothing has changed."""
    hosts = [
        {
            "host": name,
            "dial": f"{host}:{port}",
            "site": "hall",
            "class": "toy",
            "health": health[name],
        }
        for name, (host, port) in SERVERS.items()
        if health[name] != "gone"
    ]
    body = json.dumps({"seq": list_version.number, "whole": whole, "hosts": hosts if whole else []})
    sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


def on_typed() -> None:
    """Take a word from the keyboard."""
    word, _, name = sys.stdin.readline().strip().partition(" ")
    if word in STATES and name in SERVERS:
        health[name] = STATES[word]
        list_version.number += 1
        print(f"discovery: {name} is {health[name]}")
    elif not word:
        selector.unregister(sys.stdin)


def listen(address: tuple[str, int], server: str | None) -> None:
    """Take connections at an address."""
    listener = socket.create_server(address)
    selector.register(listener, selectors.EVENT_READ, lambda: Toy(listener.accept()[0], server))


def main() -> None:
    """Serve until interrupted."""
    listen(DISCOVERY, None)
    for name, address in SERVERS.items():
        listen(address, name)
    hint = "type 'drain s0' to see its clients move"
    try:
        selector.register(sys.stdin, selectors.EVENT_READ, on_typed)
    except (
        OSError,
        ValueError,
    ):  # a file or /dev/null, which no selector can watch, or nothing at all
        hint = "nobody can type here, so they stay as they are"
    print(f"toy servers s0 and s1 and discovery are up; {hint}", flush=True)
    while True:
        for key, _ in selector.select(0.05):
            key.data()
        for watch in list(watches):
            sock, seen, until = watch
            if seen < list_version.number or time.monotonic() >= until:
                watches.remove(watch)
                if sock.fileno() >= 0:
                    tell(sock, whole=seen < list_version.number)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
