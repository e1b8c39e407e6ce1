"""SWIM membership of the proxies, with Lifeguard's additions. Pure: no socket, no clock."""
