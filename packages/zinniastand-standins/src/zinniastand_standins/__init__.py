"""Test doubles for what surrounds the fleet: log, VM list, targets and balancer."""
