"""Versioned configuration, distributed by relays and applied without a restart. Disabled unless the
operator's file enables it; nothing in this package is imported otherwise."""
