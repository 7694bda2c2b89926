"""Keeps what a VM holds for callers and targets within its memory."""
