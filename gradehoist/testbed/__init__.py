"""Test doubles of the external systems: replicas, proxies, clients, the endpoint list, etcd and the network.

A scenario run starts each of them as a separate process. The only code they share with the governor is the
protocol and net packages, and the parts of the cells package that proxies and replicas use: routes, rate
limits and the fence.
"""
