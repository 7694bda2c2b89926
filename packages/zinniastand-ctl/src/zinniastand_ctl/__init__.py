"""The operators' command line, ``zinniactl``."""
