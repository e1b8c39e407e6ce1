"""Balancer decisions for long-lived connections by least ratio routing."""
