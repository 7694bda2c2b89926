"""Decisions and domain rules of zinniastand: no I/O, no clock, no global randomness.

Every decision takes a typed message and the time, and returns typed actions, so the
same code serves the daemon, the tests, the fuzzer and programs that embed it.
"""
