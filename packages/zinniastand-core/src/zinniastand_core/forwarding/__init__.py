"""Decisions about the attempts of a request, made by the VM that received it."""
