"""Sockets, buffers and descriptors: who may open what, and where it is released. No routing decisions are
made here."""
