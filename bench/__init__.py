"""Benchmarks: simulations of the product's decisions, and runs over real sockets."""
