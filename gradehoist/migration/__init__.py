"""Carries out migrations and rollouts over HTTP; each step is persisted before its first message is sent."""
