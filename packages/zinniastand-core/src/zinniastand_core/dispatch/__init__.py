"""How work is placed, waits and is refused: one dispatcher a shard.

Pure decisions: a dispatcher takes typed messages and the time, and returns typed
decisions. `shards` divides a service, `dispatcher` is the way in, `pool` holds the
targets of a shard, `beliefs` what is thought of each.
"""
