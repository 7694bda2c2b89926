"""Small stand-ins for what surrounds the fleet: log, VM list, targets, balancer."""
