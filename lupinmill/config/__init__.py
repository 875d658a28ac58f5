"""Versioned configuration, fanned out by relays and in force without a restart. Off unless the operator's
file switches it on; nothing here is imported otherwise."""
