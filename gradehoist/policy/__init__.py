"""All decisions of gradehoist: weights, withdrawals, admission rates, and what is written when."""
