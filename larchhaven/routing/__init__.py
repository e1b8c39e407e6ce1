"""The decisions of the balancer, pure: events and a time in, actions out."""
