"""The decisions on the simulator's wire: codec and host. No decisions live here."""
