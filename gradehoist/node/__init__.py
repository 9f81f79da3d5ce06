"""The platform's governor node: a single process that serves proxies over the line protocol."""
