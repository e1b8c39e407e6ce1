"""Races: each test forces two events into one moment, on real sockets.

The test advances the clock. An iteration of the event loop runs when the test says so, and what the
other sides do between two iterations has arrived by the next: a connect takes as long as the test
wants, and closes, answers and deadlines fall into one iteration.
"""
