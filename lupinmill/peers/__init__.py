"""Membership, failure detection, leases and decisions by majority among sidecars. Off unless the operators'
file enables it."""
