"""Evacuation and recovery of zones by all governors together: health, plan, and quotas for warm-up."""
