"""Client accounts on a VM: who a request comes from, and whether it may run.

`admission` decides on each request. `proof_exchange` keeps the configuration proven to
be the newest, and `quota_exchange` counts requests with the other VMs.
"""
