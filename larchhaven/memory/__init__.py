"""Memory accounting: usage by purpose, the plan of caps, admission and load shedding.

Pure: no socket, file, clock or log. Sizes are whole bytes; instants and durations are microseconds
on the caller's clock.
"""
