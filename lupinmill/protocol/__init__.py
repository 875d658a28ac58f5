"""Parsing and serialisation of all messages, without I/O. Names from the wire are not used outside."""
