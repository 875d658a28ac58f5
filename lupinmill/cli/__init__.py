"""The `lupinmill` command, one module per group of commands. The serving process does not import it."""
