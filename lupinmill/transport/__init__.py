"""Sockets and their storage: who may open what, and where each is given back. No decisions live here."""
