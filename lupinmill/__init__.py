"""Lupinmill: a load balancer for service-to-service requests, run as a sidecar beside each caller."""
