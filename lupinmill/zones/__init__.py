"""Traffic between zones, decided in common: a map, evidence that is merged, a plan, and how a member goes by
it. Pure."""
