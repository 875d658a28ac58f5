"""The engine that drives the decision module, and the path of a request through the sidecar."""
