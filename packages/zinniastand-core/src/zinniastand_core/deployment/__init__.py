"""What a deployment consists of: its configuration, its routes and its targets."""
