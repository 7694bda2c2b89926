"""A randomized soak: injects faults into daemons that run as separate processes.

`plan` draws faults from a seed, `run` injects them while callers send requests, and
`promises` finds what callers and targets must not have seen. Run it with
``python -m soak``.
"""
