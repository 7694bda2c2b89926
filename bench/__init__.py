"""Measurements: seeded models of arrivals over the real decisions, and real sockets."""
