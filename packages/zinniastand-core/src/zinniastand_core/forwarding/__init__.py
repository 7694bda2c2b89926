"""The life of one request at the VM that holds it."""
