"""The engine that drives the decision module, and the chain that a submission passes."""
