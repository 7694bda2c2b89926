"""The proxy for targets that register themselves: I/O around the core's decisions.

`edge_daemon` wires the parts. Outside systems are met through the Protocol types of
`ports`; the words that a platform uses on the wire come in as a `vocabulary`.
"""
