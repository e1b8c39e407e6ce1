"""A load-balancing proxy for long-lived connections that uses least ratio routing."""
