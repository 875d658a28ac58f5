"""Bytes to messages and back, without any I/O. The protocol's own names end here."""
