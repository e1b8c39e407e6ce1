"""The simulator's text protocol around the decisions."""
