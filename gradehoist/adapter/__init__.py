"""The simulator's wire, and the hosting of policy instances behind it."""
