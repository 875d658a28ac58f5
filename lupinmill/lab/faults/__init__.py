"""The fault campaign: real processes of the program among stand-ins, drawn faults, and a referee. No part of it
but `run` and the command knows how the program is built; none imports from the program."""
