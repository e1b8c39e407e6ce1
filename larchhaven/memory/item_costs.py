"""What one item of each kind costs, in bytes.

Averages, measured by ``benchmarks/memory_costs.py`` as growth of the resident size over hundreds of
items on CPython 3.11; the benchmark says how far a figure is off elsewhere.
``ResidentMemoryMonitor`` watches that together they stay near the truth.
"""

from __future__ import annotations

# One end of a connection with its protocol: a client, an attempt, one side of a relay, or a caller.
STREAM_BYTES = 1_900
TIMER_BYTES = 210
# Timers that a request has at a time.
TIMERS_PER_REQUEST = 3
# A request in the request table and in the routing decisions, without its id and payload.
REQUEST_BYTES = 1_350 + TIMERS_PER_REQUEST * TIMER_BYTES
# Fits a line of the greatest length and the beginning of the next.
BUFFER_BYTES = 8192
# What a buffer takes beside its bytes.
BUFFER_OVERHEAD_BYTES = 290
# What the first requests make the program load and build, once.
FIRST_REQUEST_BYTES = 220_000
# A listed server in the directory, the ranking and the tables beside it.
SERVER_BYTES = 2_600
# An entry of the sticky table.
STICKY_ENTRY_BYTES = 230
# A server that was listed once.
REMEMBERED_SERVER_BYTES = 170
REQUEST_ID_BYTES = 110
# An event remembered by the rate-limited log.
LOG_EVENT_BYTES = 260
