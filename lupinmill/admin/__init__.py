"""The admin API of a running sidecar, on an address of its own."""
