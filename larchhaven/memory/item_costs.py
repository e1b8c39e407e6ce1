"""The memory cost of one item of each kind, in bytes.

The costs are averages: the growth of the resident size over hundreds of items on CPython 3.11,
measured by ``benchmarks/memory_costs.py``. The benchmark reports their error on other platforms,
and ``ResidentMemoryMonitor`` compares the accounted total with the resident size at run time.
"""

from __future__ import annotations

# A stream with its protocol: a client, an attempt, one side of a relay, or an admin API caller.
STREAM_BYTES = 1_900
TIMER_BYTES = 210
# Timers that one request holds at the same time.
TIMERS_PER_REQUEST = 3
# A request in the request table and in the balancer, without its id and payload.
REQUEST_BYTES = 1_350 + TIMERS_PER_REQUEST * TIMER_BYTES
# Large enough for a line of the maximum length and the beginning of the next line.
BUFFER_BYTES = 8192
# Overhead of a buffer in addition to its bytes.
BUFFER_OVERHEAD_BYTES = 290
# One-time cost of what the program loads and creates for its first requests.
FIRST_REQUEST_BYTES = 220_000
# A listed server in the endpoint directory, the ranking and the related tables.
SERVER_BYTES = 2_600
# An entry of the sticky table.
STICKY_ENTRY_BYTES = 230
# The remembered id of a server that is or was listed.
REMEMBERED_SERVER_BYTES = 170
REQUEST_ID_BYTES = 110
# A remembered execution of a request, with the hash of its id.
EXECUTED_IDENTITY_BYTES = 180
# An event tracked by the rate-limited log.
LOG_EVENT_BYTES = 260
