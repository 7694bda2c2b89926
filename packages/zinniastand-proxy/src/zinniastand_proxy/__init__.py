"""The zinniastand daemon: adapters around `zinniastand_core`, wired in `daemon`."""
