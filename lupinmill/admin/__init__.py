"""What operators' staff ask of a running sidecar, at an address of their own."""
