"""``zinniactl``, the command line for operators of a fleet."""
