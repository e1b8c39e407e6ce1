"""Load reports that the proxies of a large fleet share with each other. Pure: no I/O, no clock."""
