"""Sockets and their storage: who may open what, and where each thing is given back. No decisions live here."""
