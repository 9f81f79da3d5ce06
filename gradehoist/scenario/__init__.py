"""A scripted day on loopback sockets: scenes, troubles, runs, and the audit of what crossed the sockets."""
