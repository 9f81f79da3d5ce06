"""Hosts the decision module: roster, sums and polls in, feeds out. Only `service` and `planner` do I/O."""
