"""A randomized soak: the real daemons as processes, and faults from outside them.

`plan` draws a series of faults from a seed, `run` plays it against a small site, and
`promises` judges what callers and targets have seen. Run it with ``python -m soak``.
"""
