"""Evacuation and recovery of zones, which all governors coordinate: zone health, plan and warm-up quotas."""
