"""Memory accounting: usage by purpose, the plan of caps, admission and load shedding.

Pure: no socket, file, clock or log. Sizes are integers in bytes. Points in time and durations are
in microseconds on the caller's clock.
"""
