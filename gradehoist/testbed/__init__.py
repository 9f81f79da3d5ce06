"""Test doubles of the outside systems: replicas, proxies, clients, the endpoint list, etcd and the network.

A scenario run starts them as processes of their own. They share the protocol and net packages with the
governor, and what proxies and replicas need of cells (routes, rate limits, the fence), and nothing else.
"""
