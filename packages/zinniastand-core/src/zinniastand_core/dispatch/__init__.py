"""How work is placed, waits and is refused: one dispatcher a service.

Pure decisions: a dispatcher takes typed messages and the time, and returns typed
decisions. `dispatcher` is the way in, `pool` holds a service's targets, `beliefs` what
is thought of each.
"""
