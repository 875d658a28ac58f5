"""From one process to the next: the listening socket, idle clients, what stands and what was learned."""
