"""Who of the proxies is there, agreed through lost messages, pauses and cuts. Pure: no socket, no clock."""
