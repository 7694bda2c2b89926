"""Why requests were not served, from the daemons' log lines."""
