"""A deployment: its configuration, its routes and its targets."""
