"""Answers of targets on their way to callers: bounds, streaming, slow callers."""
