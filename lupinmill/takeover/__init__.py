"""Work in hand that survives the loss of its sidecar: records at other members, claims that fence, and how
one that takes over goes on. Pure cores so far."""
