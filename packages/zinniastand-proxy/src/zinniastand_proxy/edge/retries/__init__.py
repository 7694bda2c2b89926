"""The retries that this VM sends, lends, borrows, and hands over when it stops."""
