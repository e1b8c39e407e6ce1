"""The adapter that runs the balancer under the simulator's text protocol."""
