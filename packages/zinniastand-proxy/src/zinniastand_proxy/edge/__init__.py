"""The proxy for targets that register themselves: I/O for the core's decisions.

`edge_daemon` creates and connects the components. External systems are accessed through
the Protocol types of `ports`; the header names of a platform are passed in as
`header_names.HeaderNames`.
"""
