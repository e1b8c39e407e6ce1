"""What one item of each kind costs, in bytes."""

from __future__ import annotations

# What one item costs, in bytes. Measured by benchmarks/memory_costs.py as growth of the resident size over
# hundreds of items, on CPython 3.11; the benchmark says how far a figure is off on another.
STREAM_BYTES = (
    1_900  # a connection's end with its owner: client, execution, half a relay, or a caller
)
TIMER_BYTES = 210
TIMERS_PER_REQUEST = 3  # that a command has at a time
# A command in the broker and in the decision module, its id and payload not counted.
REQUEST_BYTES = 1_350 + TIMERS_PER_REQUEST * TIMER_BYTES
BUFFER_OVERHEAD_BYTES = 290  # beside a buffer's bytes
FIRST_REQUEST_BYTES = 220_000  # what the first commands make the program load and build, once
SERVER_BYTES = 2_600  # an exam server in the directory, the ranking and the tables beside it
STICKY_ENTRY_BYTES = 230
REMEMBERED_SERVER_BYTES = 170  # an exam server that was listed once
REQUEST_ID_BYTES = 110
LOG_EVENT_BYTES = 260
"""Each is an average; `Reality` watches that together they stay near the truth."""
