"""Zero-downtime upgrade: passes the listening socket, idle clients and state to the next process."""
