"""Network clients and servers on Tornado: I/O and timeouts for the protocols of `gradehoist.protocol`."""
