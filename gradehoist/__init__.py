"""gradehoist: a central planner that publishes weights and admission levels to plain proxies."""
