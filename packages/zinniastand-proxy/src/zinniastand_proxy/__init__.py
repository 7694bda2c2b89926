"""The zinniastand daemon: I/O adapters around `zinniastand_core`.

`daemon` wires them together.
"""
