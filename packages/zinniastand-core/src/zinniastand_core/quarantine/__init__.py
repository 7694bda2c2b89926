"""Which requests crash the targets that run them, and are kept from all targets."""
