"""The fault campaign: real processes of the program among stand-ins, drawn faults, and a referee.
None of it imports from the program, which it knows by its documents alone."""
