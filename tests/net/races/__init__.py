"""Race conditions: each test forces two events into one iteration of the event loop.

The tests use real sockets, advance the clock and run each iteration themselves. Whatever clients
and servers do between two iterations has arrived by the next one. A connect can thus take any
length of time, and closes, answers and deadlines can fall into the same iteration.
"""
