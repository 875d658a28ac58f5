"""The fault campaign: real processes of the program among stand-ins, random faults, and a referee.

It imports nothing from the program, of which it assumes only what the documentation says."""
