"""Explain from the VMs' log lines why requests were not served."""
