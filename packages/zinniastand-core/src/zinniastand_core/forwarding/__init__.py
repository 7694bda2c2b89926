"""Decisions on the attempts of one request at the VM that received it."""
