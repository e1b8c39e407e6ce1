"""The proxy process: turns socket input and timers into routing events, and executes actions."""
