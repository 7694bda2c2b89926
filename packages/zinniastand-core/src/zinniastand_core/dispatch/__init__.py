"""Assigns requests to targets, queues and refuses them: one dispatcher a shard.

Pure decision logic: a dispatcher takes typed messages and the time, and returns typed
decisions. `shards` divides a service, `dispatcher` is the entry point, `pool` holds the
targets of a shard and `failure_estimates` the probability that each of them is failing.
"""
