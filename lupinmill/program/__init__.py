"""The running program: configuration, logs, signals, the watch on the list of endpoints."""
