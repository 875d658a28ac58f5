"""Connects the decision module to the simulator's line protocol. No decisions are made here."""
