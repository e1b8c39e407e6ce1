"""The fleet in simulated time: real pure packages, a network between them, faults; one seed replays it."""
