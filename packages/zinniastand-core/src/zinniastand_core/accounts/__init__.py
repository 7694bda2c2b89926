"""Client accounts: who a caller is, and how many requests its account may send."""
