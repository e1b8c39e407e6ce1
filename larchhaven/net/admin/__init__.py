"""What operators see and change: HTTP API, metrics, memory accounting, ejections."""
