"""Adapter between the simulator's wire protocol and the policy instances that it hosts."""
