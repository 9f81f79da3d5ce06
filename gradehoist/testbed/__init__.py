"""What a governor serves, written by this project for its own runs: replicas, relays, clients, a roster, and
links that injure the traffic between them. They share the protocol and net packages and
what relays need of cells (routes, limits), and nothing else."""
