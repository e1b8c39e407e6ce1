"""Administration by operators: HTTP API, memory accounting, ejections, operators' file."""
