"""SWIM membership of the proxies, with Lifeguard's extensions. It uses no socket and no clock."""
